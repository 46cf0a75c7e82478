import { connectionBoundsSchema } from "../../protocol/index.js";
import { createSilentLogger, SilentMetrics, SystemClock } from "../../utils/index.js";
import { ConnectionGuard } from "../listeners/index.js";

/** A guard with the default bounds, without logs and metrics. */
export function createSilentGuard(bounds: object = {}): ConnectionGuard {
    return ConnectionGuard.create({
        bounds: connectionBoundsSchema.parse(bounds),
        clock: SystemClock.create(),
        logger: createSilentLogger(),
        metrics: SilentMetrics.create(),
    });
}
