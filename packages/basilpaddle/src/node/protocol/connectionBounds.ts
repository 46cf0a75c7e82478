import { z } from "zod";

/** Bounds of what the connections to a daemon's listeners make it hold. */
export const connectionBoundsSchema = z.strictObject({
    /** Connections to one listener that are open at the same time; beyond it, the one that was idle for longest is closed. */
    connections: z.int().positive().default(2_000),
    /** Requests of one connection in progress; what it sends ahead of them isn't read until one has been answered. */
    requestsAhead: z.int().min(2).default(8),
    /**
     * Bytes of all connections, heads and requests in progress, estimated from what they take on the heap, without bodies.
     * @default 0.35 of the heap's limit
     */
    heldBytes: z.int().min(4_000_000).optional(),
    /** Time in milliseconds without a byte of a body after which its request is refused with 408. */
    bodyPause: z.number().positive().default(15_000),
});

/** Bounds of what the connections to a daemon's listeners make it hold. */
export type ConnectionBounds = z.infer<typeof connectionBoundsSchema>;
