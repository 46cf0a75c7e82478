import { LRUCache } from "lru-cache";
import { departureRank } from "../../coordination/index.js";
import { departureReplySchema, type DepartureReport, type ServerAnnouncement } from "../../protocol/index.js";
import type { Link } from "../../transport/index.js";
import type { Clock, Logger } from "../../utils/index.js";
import type { RestartCache } from "./restartCache.js";

/** Time in which directories may store a departure; its server calls another one after a second. */
const timeoutMilliseconds = 700;
/** How long the directories that haven't answered are waited for once enough have stored it. */
const graceMilliseconds = 200;
/** Number of departures to remember as stored. */
const maxRemembered = 8_192;

/** Dependencies of `DepartureReplication`. */
export type DepartureReplicationOptions = {
    /** Links to the other directories that are reached. */
    readonly reachedDirectories: () => readonly Link[];
    /** Number of disks that have to hold a departure before it is acknowledged. */
    readonly requiredCopies: () => number;
    readonly restartCache: RestartCache;
    readonly clock: Clock;
    readonly logger: Logger;
};

/**
 * Stores on several directories that a backend server has said that it leaves. The server relies on the acknowledgement: from then
 * on it must get no new work, even if the directory that answered is lost, or all directories and gateways are restarted.
 */
export class DepartureReplication {
    /** Rank of the departure that enough directories have stored, by incarnation. */
    private readonly storedRanks = new LRUCache<string, number>({ max: maxRemembered });

    private constructor(private readonly options: DepartureReplicationOptions) {}

    static create(options: DepartureReplicationOptions): DepartureReplication {
        return new DepartureReplication(options);
    }

    /** Stores a departure here and at the other directories; returns whether enough of them hold it. `server` is what is known of it. */
    async store(name: string, server: ServerAnnouncement | undefined): Promise<boolean> {
        const rank = server === undefined ? undefined : departureRank(server);
        if (server !== undefined && (this.storedRanks.get(server.id) ?? 0) >= departureRank(server)) {
            return true;
        }
        const isStored = await this.replicate({ kind: "departure", name, ...server === undefined ? {} : { server } });
        if (isStored && server !== undefined && rank !== undefined) {
            this.storedRanks.set(server.id, rank);
        }
        return isStored;
    }

    private async replicate(report: DepartureReport): Promise<boolean> {
        const { reachedDirectories, requiredCopies, restartCache, clock, logger } = this.options;
        const startedAt = clock.monotonic();
        const required = requiredCopies();
        const writes = [
            restartCache.flush(),
            ...reachedDirectories().map(link => this.storeAt(link, report)),
        ];
        const copies = await this.countCopies(writes, required);
        const isStored = copies >= required;
        const details = {
            name: report.name,
            id: report.server?.id,
            departure: report.server?.departure ?? report.server?.state,
            copies,
            required,
            directories: writes.length,
            milliseconds: Math.round(clock.monotonic() - startedAt),
        };
        if (isStored) {
            logger.info("stored the departure of a backend server", details);
        }
        else {
            logger.warn("too few directories have stored the departure of a backend server", details);
        }
        return isStored;
    }

    private async storeAt(link: Link, report: DepartureReport): Promise<boolean> {
        const answer = await link.request(report, timeoutMilliseconds);
        const reply = departureReplySchema.safeParse(answer.toMaybe().extract());
        return reply.success && reply.data.stored;
    }

    /** Number of successful writes once all have ended, or enough have and the others had some time, or the time is up. */
    private countCopies(writes: readonly Promise<boolean>[], required: number): Promise<number> {
        const { clock } = this.options;
        return new Promise(resolve => {
            let copies = 0;
            let pending = writes.length;
            let isOverdue = false;
            const settle = (): void => {
                cancelGrace();
                cancelTimeout();
                resolve(copies);
            };
            const cancelTimeout = clock.after(timeoutMilliseconds, settle);
            const cancelGrace = clock.after(graceMilliseconds, () => {
                isOverdue = true;
                settleIfEnough();
            });
            const settleIfEnough = (): void => {
                if (pending === 0 || (isOverdue && copies >= required)) {
                    settle();
                }
            };
            writes.forEach(write =>
                void write.then(isStored => {
                    copies += isStored ? 1 : 0;
                    pending -= 1;
                    settleIfEnough();
                })
            );
        });
    }
}
