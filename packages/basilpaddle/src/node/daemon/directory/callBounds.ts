import { getHeapStatistics } from "node:v8";
import { type DirectorySettings, minDirectoryHeldBytes, smallBodiesFraction } from "../../protocol/index.js";
import type { Clock, Logger, Metrics } from "../../utils/index.js";
import { BodyRoom, ConnectionGuard } from "../listeners/index.js";

/** Part of the heap's limit that the bodies of calls may take together if the settings state none. */
const defaultHeapFraction = 1 / 10;

type BoundSettings = Pick<DirectorySettings, "connections" | "heldBytes">;
type Dependencies = { readonly clock: Clock; readonly logger: Logger; readonly metrics: Metrics; };

/** What bounds the calls to a directory: its connections, and the bodies of configurations and of other calls. */
export class CallBounds {
    readonly guard: ConnectionGuard;
    readonly rooms: { readonly documents: BodyRoom; readonly calls: BodyRoom; };
    private readonly limit: number;

    private constructor(settings: BoundSettings, dependencies: Dependencies) {
        const share = Math.floor(getHeapStatistics().heap_size_limit * defaultHeapFraction);
        this.limit = settings.heldBytes ?? Math.max(share, minDirectoryHeldBytes);
        this.guard = ConnectionGuard.create({ bounds: settings.connections, ...dependencies });
        const room = (listener: string, fraction: number): BodyRoom =>
            BodyRoom.create({ listener, limit: this.limit * fraction, ...dependencies });
        this.rooms = {
            documents: room("configurations", 1 - smallBodiesFraction),
            calls: room("calls", smallBodiesFraction),
        };
    }

    static create(settings: BoundSettings, dependencies: Dependencies): CallBounds {
        return new CallBounds(settings, dependencies);
    }

    /** Sets the gauges of what connections and bodies hold. */
    measure(metrics: Metrics): void {
        this.guard.measure(metrics);
        metrics.gauge("basilpaddle_held_bytes", this.rooms.documents.bytes + this.rooms.calls.bytes);
        metrics.gauge("basilpaddle_held_bytes_limit", this.limit);
    }
}
