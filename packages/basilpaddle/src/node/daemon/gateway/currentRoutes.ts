import { RouteTable } from "../../coordination/index.js";
import type { Traffic } from "../../protocol/index.js";
import type { Clock } from "../../utils/index.js";

/** Limit of a request's wait for the first configuration, and the fraction of its caller's deadline that the wait may take. */
const maxConfigurationWaitMilliseconds = 2_000;
const configurationWaitFraction = 0.4;

/** The routes of the configuration in force, for which requests wait after a gateway's start. */
export class CurrentRoutes {
    private routeTable: RouteTable | undefined;
    private firstAt: number | undefined;
    private readonly waiters = new Set<() => void>();

    private constructor(private readonly clock: Clock) {}

    static create(clock: Clock): CurrentRoutes {
        return new CurrentRoutes(clock);
    }

    /** The routes; undefined before the first configuration. */
    table(): RouteTable | undefined {
        return this.routeTable;
    }

    /** When the first configuration came into force; undefined before it. */
    configuredAt(): number | undefined {
        return this.firstAt;
    }

    /** Puts a configuration in force. */
    set(traffic: Traffic): void {
        this.routeTable = RouteTable.create(traffic);
        this.firstAt ??= this.clock.monotonic();
        [...this.waiters].forEach(finish => finish());
    }

    /**
     * Waits for the first configuration. After a restart of the whole deployment it is received within about a second; a
     * caller that was refused at once would spend its only retry before that. `arrivedAt`: when the request may have arrived at the
     * earliest, from which its caller counts.
     */
    waitForFirst(deadlineWithin: number | undefined, arrivedAt: number): Promise<RouteTable | undefined> {
        const longest = Math.min(maxConfigurationWaitMilliseconds, (deadlineWithin ?? 0) * configurationWaitFraction);
        const limit = Math.max(0, arrivedAt + longest - this.clock.monotonic());
        return new Promise(resolve => {
            const finish = (): void => {
                cancel();
                this.waiters.delete(finish);
                resolve(this.routeTable);
            };
            const cancel = this.clock.after(limit, finish);
            this.waiters.add(finish);
        });
    }
}
