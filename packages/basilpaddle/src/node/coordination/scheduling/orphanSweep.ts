import { LRUCache } from "lru-cache";
import type { LoadReport, View } from "../../protocol/index.js";
import type { Clock, Logger } from "../../utils/index.js";
import type { Engine } from "../engine/engine.js";

/** Time between two sweeps. */
const sweepIntervalMilliseconds = 1_000;
/** Timeout of a cancel call to an engine; the next sweep retries a cancel that wasn't confirmed. */
const cancelTimeoutMilliseconds = 2_000;
/** Maximum number of cached session addresses, and of cached attempts whose owner has no known session. */
const maxCacheEntries = 4_096;

type Address = { readonly host: string; readonly port: number; };

/** Options of an orphan sweep. */
export type OrphanSweepOptions = {
    readonly clock: Clock;
    readonly logger: Logger;
    readonly view: () => View;
    /** Whether the view is currently confirmed. */
    readonly mayStart: () => boolean;
    /** Time in milliseconds for which a confirmation of the view is valid. */
    readonly viewLease: number;
    /** Whether this daemon runs the pool's scheduler. */
    readonly isScheduler: (pool: string) => boolean;
    /** Creates a client for an engine; the sweep closes it. */
    readonly engineAt: (url: string) => Engine;
    /** Queries the daemon at the address for its active attempts in the pool; undefined if it doesn't answer. */
    readonly attemptsAt: (address: Address, pool: string) => Promise<ReadonlySet<string> | undefined>;
};

/**
 * Periodically cancels attempts of terminated daemons at their engines. Without it an engine would decode an attempt of such a
 * daemon to the last token although no process reads it. After the daemon's session is closed, an attempt is cancelled
 * after at most one load report interval, one sweep interval and one query to the daemon's address.
 */
export class OrphanSweep {
    private readonly reports = new Map<string, { readonly pool: string; readonly report: LoadReport; }>();
    private readonly addresses = new LRUCache<string, Address>({ max: maxCacheEntries });
    private readonly firstSeen = new LRUCache<string, number>({ max: maxCacheEntries });
    private cancelTimer: (() => void) | undefined;
    private closed = false;

    private constructor(private readonly options: OrphanSweepOptions) {
        this.follow(options.view());
        this.scheduleSweep();
    }

    static create(options: OrphanSweepOptions): OrphanSweep {
        return new OrphanSweep(options);
    }

    /** Records the latest load report of an engine. */
    recordReport(pool: string, report: LoadReport): void {
        this.reports.set(report.id, { pool, report });
    }

    /**
     * Records the addresses of daemons with an open session, and removes reports of engines that are no longer in the
     * view.
     */
    follow(view: View): void {
        for (const { session, peers } of Object.values(view.sessions)) {
            this.addresses.set(`${session.daemon}/${session.incarnation}`, peers);
        }
        for (const id of this.reports.keys()) {
            if (view.backends[id] === undefined) {
                this.reports.delete(id);
            }
        }
    }

    close(): void {
        this.closed = true;
        this.cancelTimer?.();
    }

    private scheduleSweep(): void {
        this.cancelTimer = this.options.clock.after(sweepIntervalMilliseconds, () => void this.sweep());
    }

    private async sweep(): Promise<void> {
        const { view, mayStart, isScheduler } = this.options;
        if (mayStart()) {
            const sessions = Object.values(view().sessions).map(open => open.session);
            const openSessions = new Set(sessions.map(session => `${session.daemon}/${session.incarnation}`));
            const sweeps = [...this.reports.values()]
                .filter(({ pool }) => isScheduler(pool))
                .map(({ pool, report }) => this.sweepEngine(pool, report, openSessions));
            await Promise.allSettled(sweeps);
        }
        if (!this.closed) {
            this.scheduleSweep();
        }
    }

    private async sweepEngine(pool: string, report: LoadReport, openSessions: ReadonlySet<string>): Promise<void> {
        const orphans = report.active.filter(attempt => this.isOrphan(attempt, openSessions));
        if (orphans.length === 0) {
            return;
        }
        const backend = this.options.view().backends[report.id];
        if (backend === undefined || backend.state === "gone") {
            return;
        }
        const engine = this.options.engineAt(backend.announcement.url);
        try {
            await Promise.all(orphans.map(attempt => this.cancel(engine, pool, attempt)));
        }
        finally {
            await engine.close();
        }
    }

    private isOrphan(attempt: string, openSessions: ReadonlySet<string>): boolean {
        const owner = ownerOf(attempt);
        if (owner === undefined || openSessions.has(owner)) {
            return false;
        }
        if (this.addresses.has(owner)) {
            return true;
        }
        // The owner's session may be missing only because this daemon's view is stale. A view confirmed after the attempt
        // was first seen contains every session that could have started it.
        const { clock, viewLease } = this.options;
        const firstSeenAt = this.firstSeen.get(attempt) ?? clock.monotonic();
        this.firstSeen.set(attempt, firstSeenAt);
        return clock.monotonic() - firstSeenAt > viewLease;
    }

    private async cancel(engine: Engine, pool: string, attempt: string): Promise<void> {
        const address = this.addresses.get(ownerOf(attempt)!);
        const activeAttempts = address === undefined ? undefined : await this.options.attemptsAt(address, pool);
        if (activeAttempts?.has(attempt) === true) {
            return;
        }
        const cancelled = await engine.cancel(attempt, cancelTimeoutMilliseconds);
        this.options.logger.info("sent cancel for an orphaned attempt", {
            attempt,
            confirmed: cancelled.isRight(),
        });
    }
}

/** Daemon and incarnation from the prefix of an attempt's identifier; undefined if it has another form. */
function ownerOf(attempt: string): string | undefined {
    const [daemon, incarnation, number] = attempt.split("/");
    return number === undefined ? undefined : `${daemon}/${incarnation}`;
}
