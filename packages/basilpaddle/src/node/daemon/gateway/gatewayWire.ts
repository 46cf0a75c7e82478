import type { IncomingHttpHeaders } from "node:http";
import type { Either } from "purify-ts";
import type { Finding, Traffic } from "../../protocol/index.js";
import type { EngineCall } from "../backends/index.js";

/** What a caller says of its request beside method, path and body. */
export type CallerFacts = {
    /** Identifier of this attempt; undefined where the caller sent none. */
    readonly attempt: string | undefined;
    /** Milliseconds that the caller will wait, counted from when it sent the request. */
    readonly deadlineWithin: number | undefined;
    readonly promptTokens: number;
    /** Most tokens of the answer, and the caller's guess of their number. */
    readonly maxTokens: number;
    readonly expectedTokens: number | undefined;
};

/** What this system says to a backend server beside the caller's own headers. */
export type RunFacts = {
    readonly attempt: string | undefined;
    /** Milliseconds that are left. */
    readonly deadlineWithin: number;
    /** The incarnation that is meant: any other one at the address turns the request away. */
    readonly instance: string;
    /** Only the prompt is to be read. */
    readonly prefillOnly?: boolean;
    /** Where the KV cache of the prompt waits. */
    readonly source?: { readonly address: string; readonly handle: string; };
    /** Number of the last event that the caller has got. */
    readonly resumeAfter?: string;
};

/** What the head of a backend server's answer says. */
export type AnswerFacts = {
    /** Whose answer it is. */
    readonly attempt: string | undefined;
    /** Whether it bears the backend server's mark of a whole answer. */
    readonly sealed: boolean;
    /** Whether it promises that the request did not run. */
    readonly notRun: boolean;
    /** Which incarnation answers, where it says so. */
    readonly instance: string | undefined;
};

/** The wire between callers, gateways and backend servers. Translates, and decides nothing. */
export abstract class GatewayWire {
    /** Path at which the balancer asks whether the gateway is ready. */
    abstract readonly readinessPath: string;

    /** Names, in lower case, of headers that only this system sets: those of a caller are dropped. */
    abstract readonly reserved: ReadonlySet<string>;

    /** Reads what a caller says. */
    abstract caller(headers: IncomingHttpHeaders): CallerFacts;

    /** Headers that take the place of those of the same names in the caller's request. */
    abstract run(facts: RunFacts): Readonly<Record<string, string>>;

    /** Reads the head of an answer. */
    abstract answer(status: number, headers: Readonly<Record<string, string | undefined>>): AnswerFacts;

    /** Reads the answer to a call that only had the prompt read. */
    abstract prefilled(body: string): string | undefined;

    /** The call that frees a prompt's KV cache which nobody will take. */
    abstract dropHandle(handle: string): EngineCall;

    /** Reads a configuration. */
    abstract traffic(content: string): Either<readonly Finding[], Traffic>;
}
