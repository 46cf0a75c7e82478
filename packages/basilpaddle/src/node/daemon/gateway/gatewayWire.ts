import type { IncomingHttpHeaders } from "node:http";
import type { Either } from "purify-ts";
import type { CallerCredentials } from "../../coordination/index.js";
import type { Finding, Traffic } from "../../protocol/index.js";
import type { EngineCall } from "../backends/index.js";

/** Metadata that a caller sends with its request beside method, path and body. */
export type CallerMetadata = {
    /** Identifier of this attempt; undefined if the caller sent none. */
    readonly attempt: string | undefined;
    /** Milliseconds that the caller will wait, counted from when it sent the request. */
    readonly deadlineWithin: number | undefined;
    readonly promptTokens: number;
    /** Limit of the answer's tokens, and the caller's estimate of their number. */
    readonly maxTokens: number;
    readonly expectedTokens: number | undefined;
    /** Tokens of the prompt and of the longest answer together, by which an allowance in tokens is charged. */
    readonly tokens:
        | { readonly kind: "notStated" | "malformed"; }
        | { readonly kind: "stated"; readonly total: number; };
    /** The attempt in which the caller received the first event of the stream that it resumes, if it names one. @default it resumes none */
    readonly resumes?: string | undefined;
    /** Identifiers of the contents that its prompt may share with others, in their order. @default not stated */
    readonly promptParts?: readonly string[];
    /** Number of the last event that it has received, as it states it. @default none */
    readonly lastEvent?: string | undefined;
};

/** Metadata that this system sends to a backend server in addition to the caller's headers. */
export type RunMetadata = {
    readonly attempt: string | undefined;
    /** Milliseconds left until the deadline. */
    readonly deadlineWithin: number;
    /** The intended incarnation: any other one at the address rejects the request. */
    readonly instance: string;
    /** Only the prefill is requested. */
    readonly prefillOnly?: boolean;
    /** Engine that holds the KV cache of the prompt, and the handle of the cache. */
    readonly source?: { readonly address: string; readonly handle: string; };
    /** Number of the last event that the caller has received. */
    readonly resumeAfter?: string;
    /** Name of the organisation that holds the caller's key. */
    readonly organisation?: string | undefined;
    /** Priority of the request, 0 being the highest; set if requests of different priorities compete for the service. */
    readonly priority?: number | undefined;
};

/** Metadata in the head of a backend server's answer. */
export type AnswerMetadata = {
    /** The attempt that it answers. */
    readonly attempt: string | undefined;
    /** Whether it carries the backend server's seal of a complete answer. */
    readonly sealed: boolean;
    /** Whether it guarantees that the request did not run. */
    readonly notRun: boolean;
    /** The incarnation that answers, if it is named. */
    readonly instance: string | undefined;
    /** Requests per second that the server takes from all gateways together; undefined if it names no limit. */
    readonly limit: number | "malformed" | undefined;
};

/** Translates between the wire format of callers and backend servers and the gateway's own types; makes no decisions. */
export abstract class GatewayWire {
    /** Path of the balancer's readiness probe. */
    abstract readonly readinessPath: string;

    /** Lower-case names of headers that only this system sets; a caller's headers of these names are dropped. */
    abstract readonly systemHeaders: ReadonlySet<string>;

    /** Lower-case names of headers with a caller's key; dropped if the configuration has organisations. */
    abstract readonly keyHeaders: ReadonlySet<string>;

    /** Headers that tell a caller without a valid key how to authenticate. */
    abstract readonly challenge: Readonly<Record<string, string>>;

    /** Parses a caller's key; every line of each header is given. */
    abstract parseCredentials(headers: NodeJS.Dict<string[]>): CallerCredentials;

    /** Parses a caller's headers. */
    abstract parseCaller(headers: IncomingHttpHeaders): CallerMetadata;

    /** Headers that replace those of the same names in the caller's request. */
    abstract runHeaders(metadata: RunMetadata): Readonly<Record<string, string>>;

    /** Parses the head of an answer. */
    abstract parseAnswer(status: number, headers: Readonly<Record<string, string | undefined>>): AnswerMetadata;

    /** Parses the answer to a prefill; returns the handle of the KV cache, undefined if there is none. */
    abstract parsePrefill(body: string): string | undefined;

    /** The status check of the backend server of that name; a server of another name rejects it. */
    abstract statusCheck(name: string, healthPath: string): EngineCall;

    /** The call that frees a prompt's unused KV cache. */
    abstract freeHandle(handle: string): EngineCall;

    /** Parses a configuration; Left holds the findings. */
    abstract parseTraffic(content: string): Either<readonly Finding[], Traffic>;
}
