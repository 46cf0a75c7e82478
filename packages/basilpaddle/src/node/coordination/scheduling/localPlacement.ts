import type {
    EngineAllocation,
    LoadReport,
    Progress,
    SchedulingDecision,
    SchedulingRequest,
    View,
} from "../../protocol/index.js";
import type { Clock, Randomness } from "../../utils/index.js";
import type { ControlClient } from "../controlClient.js";
import { Placement } from "../placement.js";
import { LocalScheduler } from "./localScheduler.js";
import { refuse } from "./refusals.js";
import { SchedulerHost } from "./schedulerHost.js";

/** Reserves engines without the pool's scheduler, based on what this daemon knows and within its share of the slots. */
export class LocalPlacement extends Placement {
    private readonly pools = new Map<string, SchedulerHost>();
    private readonly stopFollowing: () => void;

    private constructor(
        control: ControlClient,
        private readonly clock: Clock,
        private readonly randomness: Randomness,
    ) {
        super();
        this.stopFollowing = control.onView(view => this.follow(view));
        this.follow(control.view());
    }

    static create(options: {
        readonly control: ControlClient;
        readonly clock: Clock;
        readonly randomness: Randomness;
    }): LocalPlacement {
        return new LocalPlacement(options.control, options.clock, options.randomness);
    }

    override async reserve(request: SchedulingRequest, signal: AbortSignal): Promise<SchedulingDecision> {
        const decision = await this.pools.get(request.pool)?.reserve(request, signal);
        if (signal.aborted) {
            this.pools.get(request.pool)?.withdraw(request.attempt);
            return refuse(request, "callerGone", "the caller disconnected", undefined);
        }
        return decision ?? refuse(request, "noBackend", `no pool ${request.pool} is declared`, undefined);
    }

    override async move(allocation: EngineAllocation): Promise<string | undefined> {
        return this.pools.get(allocation.demand.pool)?.move(allocation);
    }

    override progress(pool: string, progress: Progress): void {
        this.pools.get(pool)?.progress([progress]);
    }

    override load(pool: string, report: LoadReport): void {
        this.pools.get(pool)?.load([report]);
    }

    override async close(): Promise<void> {
        this.stopFollowing();
        this.pools.forEach(pool => pool.close());
        this.pools.clear();
    }

    private follow(view: View): void {
        const { pools } = view.configuration.declaration;
        for (const name of Object.keys(pools)) {
            const existingHost = this.pools.get(name);
            if (existingHost !== undefined) {
                existingHost.follow(view);
                continue;
            }
            const scheduler = LocalScheduler.create({ randomness: this.randomness, divided: true });
            const { clock } = this;
            this.pools.set(name, SchedulerHost.create({ pool: name, fence: 0, view, clock, scheduler }));
        }
        for (const [name, pool] of this.pools) {
            if (pools[name] === undefined) {
                pool.close();
                this.pools.delete(name);
            }
        }
    }
}
