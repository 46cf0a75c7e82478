import type { Either } from "purify-ts";
import type { Announced, Finding, Traffic } from "../../protocol/index.js";
import type { EngineCall } from "../backends/index.js";

/** What a call to a directory asks for. */
export type DirectoryCall =
    /** A backend server's heartbeat. */
    | { readonly kind: "announce"; readonly name: string; }
    /** A backend server leaves. */
    | { readonly kind: "leave"; readonly name: string; }
    | { readonly kind: "storeConfiguration"; }
    | { readonly kind: "readConfiguration"; }
    | { readonly kind: "unknown"; };

/** Which incarnation of a backend server leaves: its name, and its start in Unix milliseconds where it tells that. */
export type Departure = { readonly name: string; readonly startedAt?: number; };

/** An order to an engine to change its stage. */
export type StageOrder = {
    readonly engine: Announced;
    readonly stage: "prefill" | "decode";
    /** Who gives it, and the fencing token: it rises with each new holder of the right to give orders. */
    readonly holder: string;
    readonly fence: number;
};

/** What became of an order. */
export type StageOrderOutcome = "accepted" | "alreadySo" | "refused" | "fenced" | "unknown";

/** The wire between directories and those who call them; also that of orders. Translates, and decides nothing. */
export abstract class DirectoryWire {
    /** Which call the request line makes. */
    abstract call(method: string, path: string): DirectoryCall;

    /** Reads a heartbeat's body. */
    abstract announcement(name: string, body: string): Either<readonly Finding[], Announced>;

    /** Reads the body of the word that a backend server leaves. */
    abstract departure(name: string, body: string): Either<readonly Finding[], Departure>;

    /** Reads a configuration. */
    abstract traffic(content: string): Either<readonly Finding[], Traffic>;

    /** Writes an order. */
    abstract order(order: StageOrder): EngineCall;

    /** What an answer to an order says. */
    abstract orderOutcome(status: number): StageOrderOutcome;

    /** The body of an answer that lists findings. */
    abstract findings(findings: readonly Finding[]): string;
}
