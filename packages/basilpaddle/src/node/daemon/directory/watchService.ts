import { LRUCache } from "lru-cache";
import type { Announcements, QuarantinedRequests } from "../../coordination/index.js";
import { type PackedDocument, packText, type WatchRequest, type WatchUpdate } from "../../protocol/index.js";
import type { StoredDocument } from "../../state/index.js";
import type { Clock } from "../../utils/index.js";

/** How long a watch is held open while nothing changes. */
const longPollMilliseconds = 1_000;
/**
 * Minimum interval between two updates to the same gateway: per watching gateway, and its upper bound. After a restart of
 * all directories the first heartbeats of a thousand servers are changes, and answering every gateway for each of them costs
 * servers times gateways. A few gateways are updated almost immediately; a delay of a tenth of a second costs callers little.
 * An isolated change is sent immediately.
 */
const updateIntervalPerGatewayMilliseconds = 2.5;
const maximumUpdateIntervalMilliseconds = 100;
/** Bounds the table of last updates; more than the gateways and directories of any deployment. */
const maximumWatchers = 4_096;
/** A gateway counts as connected for this long after its last watch. */
const gatewayTimeoutMilliseconds = 3_000;

/**
 * Time after startup within which gateways reconnect: longer than a restart of all of them. Until then the gateway count from
 * before the restart is used, if there is one. With the count of those connected so far each gateway would take too large a
 * share of the common budgets, and with a guess almost none, so that requests would be rejected for lack of retries.
 */
const gatewaySettleMilliseconds = 6_000;

/** Inputs and dependencies of `WatchService`. */
export type WatchServiceOptions = {
    /** Differs after each start: cursors from an earlier start are invalid. */
    readonly incarnation: string;
    readonly failureDomain: string;
    readonly announcements: Announcements;
    readonly quarantined: Pick<QuarantinedRequests, "latestChange" | "changedAfter">;
    readonly document: () => StoredDocument;
    readonly members: () => { readonly members: readonly string[]; readonly leader: string | undefined; };
    /** Ejected backend servers of plain services; empty unless this directory leads. */
    readonly ejected: () => readonly string[];
    /** Number of gateways before the restart of this directory; 0 if unknown. */
    readonly previousGateways: number;
    readonly clock: Clock;
};

/** Answers watches by long polling: immediately if the watcher is out of date, otherwise on the next change. */
export class WatchService {
    private readonly waiting = new Set<() => void>();
    private readonly gateways = new Map<
        string,
        { readonly at: number; readonly borrowed: WatchRequest["borrowed"]; }
    >();
    private packedDocument: PackedDocument | undefined;
    /** When each watcher last received an update. */
    private readonly lastUpdateAt = new LRUCache<string, number>({ max: maximumWatchers });
    private readonly startedAt: number;

    private constructor(private readonly options: WatchServiceOptions) {
        this.startedAt = options.clock.monotonic();
    }

    static create(options: WatchServiceOptions): WatchService {
        return new WatchService(options);
    }

    /** Answers one watch; without a change, after the long poll's time limit. */
    async watch(watch: WatchRequest): Promise<WatchUpdate> {
        const { clock } = this.options;
        if (!watch.observer) {
            this.gateways.set(watch.gateway, { at: clock.monotonic(), borrowed: watch.borrowed });
        }
        const hasChanged = this.hasUpdates(watch) || await this.waitForChange();
        const isFirstWatch = watch.incarnation !== this.options.incarnation;
        if (hasChanged && !isFirstWatch) {
            await this.throttle(watch.gateway);
        }
        return this.answer(watch);
    }

    /** The newest configuration, compressed for transfer; cached per version. */
    packed(): PackedDocument {
        const { version, content } = this.options.document();
        if (this.packedDocument?.version !== version) {
            this.packedDocument = { version, packed: packText(content) };
        }
        return this.packedDocument;
    }

    /** Answers all pending watches: now, or after a short delay for watchers that received an update a moment ago. */
    notifyWatchers(): void {
        [...this.waiting].forEach(wake => wake());
    }

    /** Number of connected gateways. */
    gatewayCount(): number {
        return this.gatewayNames().length;
    }

    /** Names of the connected gateways. */
    gatewayNames(): readonly string[] {
        const since = this.options.clock.monotonic() - gatewayTimeoutMilliseconds;
        this.gateways.forEach(({ at }, name) => {
            if (at < since) {
                this.gateways.delete(name);
            }
        });
        return [...this.gateways.keys()];
    }

    /** Retries of a service that gateways borrowed within the last window; undefined while not all of them have reported. */
    borrowed(service: string): number | undefined {
        const names = this.gatewayNames();
        const { previousGateways } = this.options;
        if (!this.haveGatewaysSettled() && (previousGateways === 0 || names.length < previousGateways)) {
            return undefined;
        }
        const loans = [...this.gateways.values()].flatMap(({ borrowed = [] }) => borrowed);
        return loans.filter(loan => loan.service === service).reduce((sum, { count }) => sum + count, 0);
    }

    private haveGatewaysSettled(): boolean {
        return this.options.clock.monotonic() - this.startedAt > gatewaySettleMilliseconds;
    }

    /** The number of gateways that share the common budgets, and whether that number is reliable. */
    private gatewayShares(): Pick<WatchUpdate, "gateways" | "gatewaysSettled"> {
        const { previousGateways } = this.options;
        const areSettled = this.haveGatewaysSettled();
        return {
            gateways: Math.max(this.gatewayCount(), areSettled ? 0 : previousGateways),
            gatewaysSettled: areSettled || previousGateways > 0,
        };
    }

    private hasUpdates(watch: WatchRequest): boolean {
        const { incarnation, announcements, quarantined, document } = this.options;
        return watch.incarnation !== incarnation
            || announcements.latestChange() > watch.cursor
            || quarantined.latestChange() > (watch.crashCursor ?? 0)
            || document().version > watch.version;
    }

    /** Waits for a change; resolves to false if there was none within the long poll's time limit. */
    private waitForChange(): Promise<boolean> {
        return new Promise(resolve => {
            const settle = (changed: boolean): void => {
                cancel();
                this.waiting.delete(wake);
                resolve(changed);
            };
            const wake = (): void => settle(true);
            const cancel = this.options.clock.after(longPollMilliseconds, () => settle(false));
            this.waiting.add(wake);
        });
    }

    /**
     * Delays an update to a watcher that received one a moment ago. This applies to watchers that return to find a change as
     * well as to those that wait for one: if changes are more frequent than round trips, updates would follow each other
     * without a pause.
     */
    private async throttle(watcher: string): Promise<void> {
        const { clock } = this.options;
        const interval = Math.min(
            maximumUpdateIntervalMilliseconds,
            updateIntervalPerGatewayMilliseconds * this.gateways.size,
        );
        const wait = (this.lastUpdateAt.get(watcher) ?? -Infinity) + interval - clock.monotonic();
        if (wait > 0) {
            await new Promise<void>(resolve => clock.after(wait, resolve));
        }
        this.lastUpdateAt.set(watcher, clock.monotonic());
    }

    private answer(watch: WatchRequest): WatchUpdate {
        const { incarnation, announcements, quarantined, document, members } = this.options;
        const current = document();
        const newer = watch.wantsDocument && current.version > watch.version;
        const isKnown = watch.incarnation === incarnation;
        const since = isKnown ? watch.cursor : 0;
        const crashes = quarantined.changedAfter(isKnown ? watch.crashCursor ?? 0 : 0);
        const group = members();
        const ejected = this.options.ejected();
        return {
            incarnation,
            cursor: announcements.latestChange(),
            version: current.version,
            ...newer ? { document: this.packed() } : {},
            announced: [...announcements.changedAfter(since)],
            members: [...group.members],
            failureDomain: this.options.failureDomain,
            ...group.leader === undefined ? {} : { leader: group.leader },
            ...this.gatewayShares(),
            ...ejected.length === 0 ? {} : { ejected: [...ejected] },
            crashCursor: quarantined.latestChange(),
            ...crashes.length === 0 ? {} : { crashes: [...crashes] },
        };
    }
}
