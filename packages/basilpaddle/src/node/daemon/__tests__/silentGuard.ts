import { connectionBoundsSchema } from "../../protocol/index.js";
import { type Clock, createSilentLogger, SilentMetrics, SystemClock } from "../../utils/index.js";
import { BodyRoom, ConnectionGuard } from "../listeners/index.js";

/** A guard with the default bounds, without logs and metrics. */
export function createSilentGuard(bounds: object = {}, clock: Clock = SystemClock.create()): ConnectionGuard {
    return ConnectionGuard.create({
        bounds: connectionBoundsSchema.parse(bounds),
        clock,
        logger: createSilentLogger(),
        metrics: SilentMetrics.create(),
    });
}

/** Room for bodies of that many bytes together, without logs and metrics. */
export function createSilentRoom(limit: number): BodyRoom {
    return BodyRoom.create({
        listener: "test",
        limit,
        clock: SystemClock.create(),
        logger: createSilentLogger(),
        metrics: SilentMetrics.create(),
    });
}
