/**
 * How a backend server says that it leaves. `draining`: by a heartbeat, and its heartbeats go on; the others: by a leave call, with and
 * without its start time, and it sends no more heartbeats.
 */
export const departureKinds = ["leaveCall", "leaveCallWithStart", "draining"] as const;

/** A backend server's departure. */
export type Departure = {
    readonly kind: typeof departureKinds[number];
    /** Number of the directory that is called first; heartbeats go to the first one. */
    readonly directory: number;
    /** Milliseconds after the call at which a heartbeat arrives that was sent before it; undefined for none. */
    readonly lateHeartbeat: number | undefined;
};
