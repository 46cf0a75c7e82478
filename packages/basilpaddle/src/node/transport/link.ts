import type { Either } from "purify-ts";

/** Why a request over a link failed without an answer. */
export type LinkFailure = {
    /**
     * `refused`: the other host refused the connection, since no process listens there; nothing was sent.
     * `unreachable`: the connection couldn't be established; nothing was sent.
     * `lost`: the connection was lost after sending; the request may have been handled.
     * `timeout`: no answer within the timeout; the request may have been handled, or may still be.
     * `closed`: this side closed the link.
     */
    readonly kind: "refused" | "unreachable" | "lost" | "timeout" | "closed";
    readonly message: string;
};

/** A connection to another daemon, established on first use and re-established after it was lost. */
export abstract class Link {
    /** Sends a request and waits for its answer. `timeout` is in milliseconds. Never sends a request twice. */
    abstract request(body: unknown, timeout: number): Promise<Either<LinkFailure, unknown>>;

    /** Sends a message that isn't answered; it may get lost. Messages on one link are delivered in order. */
    abstract send(body: unknown): void;

    /** Closes the link; pending requests fail as `closed`. */
    abstract close(): void;
}

/** Creates links to other daemons. Tests use one that loses and delays messages, and disconnects links. */
export abstract class Network {
    abstract link(address: { readonly host: string; readonly port: number; }): Link;
}

/** Handles requests received over links. The result for a message that isn't answered is discarded. */
export type LinkHandler = (body: unknown, context: LinkContext) => Promise<unknown>;

/** Context of a received request. */
export type LinkContext = {
    /** Aborted when the connection of the request is closed, after which the request can't be answered. */
    readonly disconnected: AbortSignal;
};
