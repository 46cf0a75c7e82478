import type { Either } from "purify-ts";
import type { Finding, ServerAnnouncement, Traffic } from "../../protocol/index.js";
import type { EngineCall } from "../backends/index.js";

/** A parsed call to a directory. */
export type DirectoryCall =
    /** Heartbeat of a backend server. */
    | { readonly kind: "announce"; readonly name: string; }
    /** A backend server shuts down and should receive no more work. */
    | { readonly kind: "leave"; readonly name: string; }
    | { readonly kind: "storeConfiguration"; }
    | { readonly kind: "readConfiguration"; }
    | { readonly kind: "unknown"; };

/** The incarnation of a backend server that leaves: its name, and its start time in Unix milliseconds if it reports one. */
export type Departure = { readonly name: string; readonly startedAt?: number; };

/** An order to an engine to change its stage. */
export type StageOrder = {
    readonly engine: ServerAnnouncement;
    readonly stage: "prefill" | "decode";
    /** The daemon that issues the order, and its fencing token, which increases with each new holder. */
    readonly holder: string;
    readonly fence: number;
};

/** Outcome of an order; `unknown` if the engine may still execute it. */
export type StageOrderOutcome = "accepted" | "alreadySo" | "refused" | "fenced" | "unknown";

/** Codec for the calls that directories receive and for the orders that they send. It only translates and makes no decisions. */
export abstract class DirectoryWire {
    /** Maps a request line to a call. */
    abstract parseCall(method: string, path: string): DirectoryCall;

    /** Parses the body of a heartbeat. */
    abstract parseAnnouncement(name: string, body: string): Either<readonly Finding[], ServerAnnouncement>;

    /** Parses the body of a leave call. */
    abstract parseDeparture(name: string, body: string): Either<readonly Finding[], Departure>;

    /** Parses and validates a configuration. */
    abstract parseTraffic(content: string): Either<readonly Finding[], Traffic>;

    /** Encodes an order as an HTTP call to its engine. */
    abstract order(order: StageOrder): EngineCall;

    /** Maps the HTTP status of an engine's answer to the outcome of the order. */
    abstract parseOrderOutcome(status: number): StageOrderOutcome;

    /** Encodes findings as a response body. */
    abstract findings(findings: readonly Finding[]): string;
}
