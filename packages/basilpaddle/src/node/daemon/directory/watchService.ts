import { LRUCache } from "lru-cache";
import type { Announcements, QuarantinedRequests } from "../../coordination/index.js";
import { type PackedDocument, packText, type WatchRequest, type WatchUpdate } from "../../protocol/index.js";
import type { StoredDocument } from "../../state/index.js";
import type { Clock } from "../../utils/index.js";
import type { AllowanceLimits } from "./allowanceService.js";
import { GatewayPresence } from "./gatewayPresence.js";
import type { PublishedLimits } from "./serverLimitService.js";

/** How long a watch is held open while nothing changes. */
const longPollMilliseconds = 1_000;
/**
 * Minimum interval between two updates to the same gateway: proportional to the number of gateways, up to a maximum. After a
 * restart of all directories the first heartbeats of a thousand servers are changes, and if each were sent to every gateway
 * at once, the cost would be servers times gateways. A delay of a tenth of a second costs callers little; with few gateways
 * it is much shorter, and an isolated change is sent immediately.
 */
const updateIntervalPerGatewayMilliseconds = 2.5;
const maxUpdateIntervalMilliseconds = 100;
/** Maximum number of watchers whose last update is remembered: more than the gateways and directories of any deployment. */
const maxWatchers = 4_096;
/** A gateway counts as connected for this long after its last watch. */
const gatewayTimeoutMilliseconds = 3_000;

/**
 * Time after startup within which gateways reconnect: longer than a restart of all of them. Until then the gateway count from
 * before the restart is used, if there is one. With the count of those connected so far each gateway would take too large a
 * share of the common budgets, and with a guess almost none, so that requests would be refused for lack of retries.
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
    /** Organisations near their limit; none unless this directory leads. */
    readonly limits: () => AllowanceLimits;
    /** Limits that backend servers name; none unless this directory leads. */
    readonly serverLimits: () => PublishedLimits;
    /** Number of gateways before the restart of this directory; 0 if unknown. */
    readonly previousGateways: number;
    readonly clock: Clock;
    /** Stands still with this process; the silence of gateways is measured by it. */
    readonly activeClock: Clock;
};

/** Answers watches by long polling: immediately if the watcher is out of date, otherwise on the next change. */
export class WatchService {
    private readonly pendingWatches = new Set<() => void>();
    /** When each gateway last sent a watch, by the host's clock and by the active one. */
    private readonly gateways = new Map<string, { readonly host: number; readonly active: number; }>();
    /** When each gateway was last heard of, by watches and by its messages to the leader. */
    readonly presence = GatewayPresence.create();
    private packedDocument: PackedDocument | undefined;
    /** When each watcher last received an update. */
    private readonly lastUpdateAt = new LRUCache<string, number>({ max: maxWatchers });
    private readonly startedAt: number;

    private constructor(private readonly options: WatchServiceOptions) {
        this.startedAt = options.clock.monotonic();
    }

    static create(options: WatchServiceOptions): WatchService {
        return new WatchService(options);
    }

    /** Answers one watch; without a change, after the long poll's time limit. */
    async watch(watch: WatchRequest): Promise<WatchUpdate> {
        const { clock, activeClock } = this.options;
        if (!watch.observer) {
            this.gateways.set(watch.gateway, { host: clock.monotonic(), active: activeClock.monotonic() });
            this.presence.record(watch.gateway, clock.monotonic());
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
        [...this.pendingWatches].forEach(wake => wake());
    }

    /** Number of connected gateways. */
    gatewayCount(): number {
        return this.gatewayNames().length;
    }

    /** Names of the connected gateways: those whose watches this process hasn't missed for a while in which it could read them. */
    gatewayNames(): readonly string[] {
        const oldestWatch = this.options.activeClock.monotonic() - gatewayTimeoutMilliseconds;
        this.gateways.forEach(({ active }, name) => {
            if (active < oldestWatch) {
                this.gateways.delete(name);
            }
        });
        return [...this.gateways.keys()];
    }

    /** Whether any gateway has sent a watch lately, however long this process stood still meanwhile. */
    hasRecentWatch(): boolean {
        const oldestWatch = this.options.clock.monotonic() - gatewayTimeoutMilliseconds;
        return [...this.gateways.values()].some(({ host }) => host >= oldestWatch);
    }

    private haveGatewaysSettled(): boolean {
        return this.options.clock.monotonic() - this.startedAt > gatewaySettleMilliseconds;
    }

    /** The number of gateways that share the common budgets, and whether that number is reliable. */
    private gatewayCountStatus(): Pick<WatchUpdate, "gateways" | "gatewaysSettled"> {
        const { previousGateways } = this.options;
        const haveSettled = this.haveGatewaysSettled();
        return {
            gateways: Math.max(this.gatewayCount(), haveSettled ? 0 : previousGateways),
            gatewaysSettled: haveSettled || previousGateways > 0,
        };
    }

    private hasUpdates(watch: WatchRequest): boolean {
        const { incarnation, announcements, quarantined, document } = this.options;
        return watch.incarnation !== incarnation
            || announcements.latestChange() > watch.cursor
            || quarantined.latestChange() > (watch.crashCursor ?? 0)
            || this.options.limits().change !== (watch.limitCursor ?? 0)
            || this.options.serverLimits().latestChange() !== (watch.serverLimitCursor ?? 0)
            || document().version > watch.version;
    }

    /** Waits for a change; resolves to false if there was none within the long poll's time limit. */
    private waitForChange(): Promise<boolean> {
        return new Promise(resolve => {
            const settle = (changed: boolean): void => {
                cancel();
                this.pendingWatches.delete(wake);
                resolve(changed);
            };
            const wake = (): void => settle(true);
            const cancel = this.options.clock.after(longPollMilliseconds, () => settle(false));
            this.pendingWatches.add(wake);
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
            maxUpdateIntervalMilliseconds,
            updateIntervalPerGatewayMilliseconds * this.gateways.size,
        );
        const delay = (this.lastUpdateAt.get(watcher) ?? -Infinity) + interval - clock.monotonic();
        if (delay > 0) {
            await new Promise<void>(resolve => clock.after(delay, resolve));
        }
        this.lastUpdateAt.set(watcher, clock.monotonic());
    }

    private answer(watch: WatchRequest): WatchUpdate {
        const { incarnation, announcements, quarantined, document, members } = this.options;
        const current = document();
        const sendsDocument = watch.wantsDocument && current.version > watch.version;
        const isSameIncarnation = watch.incarnation === incarnation;
        const knownChange = isSameIncarnation ? watch.cursor : 0;
        const crashes = quarantined.changedAfter(isSameIncarnation ? watch.crashCursor ?? 0 : 0);
        const group = members();
        const ejected = this.options.ejected();
        const limits = this.options.limits();
        const serverLimits = this.options.serverLimits();
        return {
            incarnation,
            cursor: announcements.latestChange(),
            version: current.version,
            ...sendsDocument ? { document: this.packed() } : {},
            announced: [...announcements.changedAfter(knownChange, this.options.clock.monotonic())],
            members: [...group.members],
            failureDomain: this.options.failureDomain,
            ...group.leader === undefined ? {} : { leader: group.leader },
            ...this.gatewayCountStatus(),
            ...ejected.length === 0 ? {} : { ejected: [...ejected] },
            ...limits.change === 0
                ? {}
                : { limitCursor: limits.change, nearLimit: [...limits.near], usedUp: [...limits.usedUp] },
            ...serverLimits.latestChange() === 0
                ? {}
                : { serverLimitCursor: serverLimits.latestChange(), serverLimits: [...serverLimits.recent()] },
            crashCursor: quarantined.latestChange(),
            ...crashes.length === 0 ? {} : { crashes: [...crashes] },
        };
    }
}
