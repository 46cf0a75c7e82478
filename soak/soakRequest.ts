import type { RouteKind } from "../platform/src/standins/wire.js";
import type { RequestKey } from "./organisations.js";

/** How a request ended, as its caller saw it. */
export type CallerEnd =
    /** A response with its complete body; `right` if the body is the one expected for the request. */
    | { readonly kind: "answered"; readonly status: number; readonly sealed: boolean; readonly right: boolean; }
    /** A response that was cut off, with its status, or none at all. */
    | { readonly kind: "cut"; readonly cause: string; readonly status?: number; }
    | { readonly kind: "left"; };

/** One request of a caller and everything that was observed of it; times in milliseconds. */
export type SoakRequest = {
    readonly attempt: string;
    readonly kind: RouteKind;
    readonly gateway: string;
    readonly key: RequestKey;
    readonly sentAt: number;
    /** Each run of the request: its backend server, its start and its end. */
    readonly runs: { readonly server: string; readonly begunAt: number; endedAt: number | undefined; }[];
    /** The stream that it resumes: the attempt that began it, and the last event that its caller has. */
    readonly resumes: Resumption | undefined;
    /** Software versions of the engines that made the events which its caller received, in order. */
    versions: readonly string[];
    /** When its last byte was sent, if its caller keeps its connection. */
    wholeAt: number | undefined;
    end: CallerEnd | undefined;
    endedAt: number;
};

/** A stream that a caller resumes: the attempt that began it, and the last event that the caller has. */
export type Resumption = { readonly firstAttempt: string; readonly lastEvent: number; };

/** A violation of an invariant. */
export type Violation = { readonly invariant: string; readonly what: string; };
