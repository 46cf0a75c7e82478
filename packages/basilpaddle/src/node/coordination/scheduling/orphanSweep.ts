import { LRUCache } from "lru-cache";
import type { LoadReport, View } from "../../protocol/index.js";
import type { Clock, Logger } from "../../utils/index.js";
import type { Engine } from "../engine/engine.js";

/** Time between two sweeps. */
const sweepIntervalMilliseconds = 1_000;
/** Timeout of a cancel call to an engine; an unconfirmed cancel is retried by the next sweep. */
const cancelTimeoutMilliseconds = 2_000;
/** Upper bound of the session addresses, and of the attempts without a known session, that are kept. */
const cacheLimit = 4_096;

type Address = { readonly host: string; readonly port: number; };

/** Dependencies of an orphan sweep. */
export type OrphanSweepParts = {
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
    /** Attempts that the daemon at the address reports as its own in the pool; undefined if it doesn't answer. */
    readonly attemptsAt: (address: Address, pool: string) => Promise<ReadonlySet<string> | undefined>;
};

/**
 * Cancels attempts of dead daemons at their engines. Without it the engine would decode an attempt of a killed daemon to
 * the last token although nobody reads it. Once the daemon's session is closed, cancellation takes at most one load report,
 * one sweep and one query to the daemon's address.
 */
export class OrphanSweep {
    private readonly reports = new Map<string, { readonly pool: string; readonly report: LoadReport; }>();
    private readonly addresses = new LRUCache<string, Address>({ max: cacheLimit });
    private readonly firstSeen = new LRUCache<string, number>({ max: cacheLimit });
    private cancelTimer: (() => void) | undefined;
    private closed = false;

    private constructor(private readonly parts: OrphanSweepParts) {
        this.follow(parts.view());
        this.scheduleSweep();
    }

    static create(parts: OrphanSweepParts): OrphanSweep {
        return new OrphanSweep(parts);
    }

    /** Records the latest load report of an engine. */
    recordReport(pool: string, report: LoadReport): void {
        this.reports.set(report.id, { pool, report });
    }

    /** Records the addresses of daemons with an open session, and drops reports of engines that left the view. */
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
        this.cancelTimer = this.parts.clock.after(sweepIntervalMilliseconds, () => void this.sweep());
    }

    private async sweep(): Promise<void> {
        const { view, mayStart, isScheduler } = this.parts;
        if (mayStart()) {
            const sessions = Object.values(view().sessions).map(open => open.session);
            const open = new Set(sessions.map(session => `${session.daemon}/${session.incarnation}`));
            const sweeps = [...this.reports.values()]
                .filter(({ pool }) => isScheduler(pool))
                .map(({ pool, report }) => this.sweepEngine(pool, report, open));
            await Promise.allSettled(sweeps);
        }
        if (!this.closed) {
            this.scheduleSweep();
        }
    }

    private async sweepEngine(pool: string, report: LoadReport, open: ReadonlySet<string>): Promise<void> {
        const orphans = report.active.filter(attempt => this.isOrphan(attempt, open));
        if (orphans.length === 0) {
            return;
        }
        const backend = this.parts.view().backends[report.id];
        if (backend === undefined || backend.state === "gone") {
            return;
        }
        const engine = this.parts.engineAt(backend.announcement.url);
        try {
            await Promise.all(orphans.map(attempt => this.cancel(engine, pool, attempt)));
        }
        finally {
            await engine.close();
        }
    }

    private isOrphan(attempt: string, open: ReadonlySet<string>): boolean {
        const owner = ownerOf(attempt);
        if (owner === undefined || open.has(owner)) {
            return false;
        }
        if (this.addresses.has(owner)) {
            return true;
        }
        // The owner's session may be missing only because this view is old. A view confirmed after the attempt was first
        // seen contains every session that could have started it.
        const { clock, viewLease } = this.parts;
        const seenAt = this.firstSeen.get(attempt) ?? clock.monotonic();
        this.firstSeen.set(attempt, seenAt);
        return clock.monotonic() - seenAt > viewLease;
    }

    private async cancel(engine: Engine, pool: string, attempt: string): Promise<void> {
        const address = this.addresses.get(ownerOf(attempt)!);
        const driven = address === undefined ? undefined : await this.parts.attemptsAt(address, pool);
        if (driven?.has(attempt) === true) {
            return;
        }
        const cancelled = await engine.cancel(attempt, cancelTimeoutMilliseconds);
        this.parts.logger.info("sent cancel for an orphaned attempt", {
            attempt,
            confirmed: cancelled.isRight(),
        });
    }
}

/** Daemon and incarnation from the prefix of an attempt's identifier; undefined if it has another form. */
function ownerOf(attempt: string): string | undefined {
    const [daemon, incarnation, rest] = attempt.split("/");
    return rest === undefined ? undefined : `${daemon}/${incarnation}`;
}
