import type { ConnectionBounds } from "../../protocol/index.js";
import {
    type Clock,
    DisposableStore,
    type Logger,
    measureCode,
    type Randomness,
    RecordedMetrics,
    SystemClock,
    SystemRandomness,
} from "../../utils/index.js";
import { BodyRoom, ConnectionGuard, defaultRoomBytes } from "../listeners/index.js";
import { bodyLimitBytes } from "../operators/index.js";
import { RunningDaemon } from "./runningDaemon.js";

/** Base class of daemons that open and own their components, and use the clock and random numbers of the host. */
export abstract class AssembledDaemon extends RunningDaemon {
    override readonly failure: Promise<string>;
    protected readonly store = DisposableStore.create();
    protected readonly clock: Clock = SystemClock.create();
    protected readonly randomness: Randomness = SystemRandomness.create();
    protected readonly metrics = RecordedMetrics.create();
    private resolveFailure!: (cause: string) => void;

    protected constructor(protected readonly logger: Logger) {
        super();
        this.failure = new Promise(resolve => {
            this.resolveFailure = resolve;
        });
    }

    /** Opens all components. If one fails to open, those already open are closed and the error is rethrown. */
    async open(): Promise<void> {
        measureCode(this.metrics);
        try {
            await this.openComponents();
        }
        catch (error) {
            await this.store.dispose();
            throw error;
        }
    }

    /** Opens the components in order, and adds each to the store as soon as it is open. */
    protected abstract openComponents(): Promise<void>;

    /** Bounds what the connections to this daemon's listeners make it hold, and measures it. */
    protected guardConnections(bounds: ConnectionBounds): ConnectionGuard {
        const { clock, logger, metrics } = this;
        const guard = ConnectionGuard.create({ bounds, clock, logger, metrics });
        this.store.add(metrics.onCollect(() => guard.measure(metrics)));
        return guard;
    }

    /** Room for the bodies of calls by operators. */
    protected roomForOperators(): BodyRoom {
        const { clock, logger, metrics } = this;
        return BodyRoom.create({
            listener: "operators",
            limit: defaultRoomBytes(bodyLimitBytes),
            clock,
            logger,
            metrics,
        });
    }

    /** Reports that the daemon can't continue to run. Only the first cause is kept. */
    protected fail(cause: string): void {
        this.resolveFailure(cause);
    }
}
