import { LRUCache } from "lru-cache";
import type { Announcements, HeldRequests } from "../../coordination/index.js";
import { type PackedDocument, packText, type Watch, type Watched } from "../../protocol/index.js";
import type { StoredDocument } from "../../state/index.js";
import type { Clock } from "../../utils/index.js";

/** Milliseconds for which a watch is held open when nothing changes. */
const holdTime = 1_000;
/**
 * Least milliseconds from one answer that brings news to a gateway to the next: for each gateway that watches, and at the
 * most. After a restart of all directories the first heartbeats of a thousand servers are news, and an answer to every gateway
 * for each of them grows with servers times gateways. Few gateways hear nearly at once; news that is a tenth of a second old costs
 * callers little. A single word goes out at once.
 */
const paceForEachGateway = 2.5;
const mostPace = 100;
/** Watchers whose last news is remembered: more than the gateways and directories of any deployment, so that it is bounded. */
const watcherLimit = 4_096;
/** Milliseconds after its last watch in which a gateway counts as there. */
const gatewayMemory = 3_000;

/**
 * Milliseconds after the start in which gateways come: longer than a restart of them all. Until then the count from before
 * the start counts, where there is one: by those that have come so far each would take too large a part of what all share,
 * and by a guess nearly nothing, so that requests are refused for want of repeats.
 */
const gatewaysComeWithin = 6_000;

/** What a watch is answered from. */
export type WatchSources = {
    /** Another one after each start: numbers of an earlier start mean nothing. */
    readonly incarnation: string;
    readonly failureDomain: string;
    readonly announcements: Announcements;
    readonly held: Pick<HeldRequests, "newest" | "since">;
    readonly document: () => StoredDocument;
    readonly members: () => { readonly members: readonly string[]; readonly leader: string | undefined; };
    /** Backend servers of plain services that are ejected, where this directory leads. */
    readonly ejected: () => readonly string[];
    /** Gateways that were known before a restart of this directory; 0 where nobody remembers. */
    readonly gatewaysBefore: number;
    readonly clock: Clock;
};

/** Answers watches: at once where the watcher lacks something, else when something changes. */
export class WatchBook {
    private readonly waiting = new Set<() => void>();
    private readonly gateways = new Map<string, { readonly at: number; readonly borrowed: Watch["borrowed"]; }>();
    private newest: PackedDocument | undefined;
    /** When each watcher was last answered with news. */
    private readonly newsAt = new LRUCache<string, number>({ max: watcherLimit });
    private readonly startedAt: number;

    private constructor(private readonly sources: WatchSources) {
        this.startedAt = sources.clock.monotonic();
    }

    static create(sources: WatchSources): WatchBook {
        return new WatchBook(sources);
    }

    /** Answers one watch. */
    async watch(watch: Watch): Promise<Watched> {
        const { clock } = this.sources;
        if (!watch.observer) {
            this.gateways.set(watch.gateway, { at: clock.monotonic(), borrowed: watch.borrowed });
        }
        const hasChanged = this.hasNews(watch) || await this.nextChange();
        const knowsNothing = watch.incarnation !== this.sources.incarnation;
        if (hasChanged && !knowsNothing) {
            await this.pace(watch.gateway);
        }
        return this.answer(watch);
    }

    /** The newest configuration as it travels; packed once for all who ask. */
    packed(): PackedDocument {
        const { version, content } = this.sources.document();
        if (this.newest?.version !== version) {
            this.newest = { version, packed: packText(content) };
        }
        return this.newest;
    }

    /** Has every watch answered that waits: now, or soon where its watcher had news a moment ago. */
    changed(): void {
        [...this.waiting].forEach(wake => wake());
    }

    /** Gateways that watch. */
    gatewayCount(): number {
        return this.gatewayNames().length;
    }

    /** Their names. */
    gatewayNames(): readonly string[] {
        const since = this.sources.clock.monotonic() - gatewayMemory;
        this.gateways.forEach(({ at }, name) => {
            if (at < since) {
                this.gateways.delete(name);
            }
        });
        return [...this.gateways.keys()];
    }

    /** Repeats of a service that gateways borrowed within the last window; undefined while some of them haven't said. */
    borrowed(service: string): number | undefined {
        const names = this.gatewayNames();
        const { gatewaysBefore } = this.sources;
        if (!this.haveAllCome() && (gatewaysBefore === 0 || names.length < gatewaysBefore)) {
            return undefined;
        }
        const loans = [...this.gateways.values()].flatMap(({ borrowed = [] }) => borrowed);
        return loans.filter(loan => loan.service === service).reduce((sum, { count }) => sum + count, 0);
    }

    private haveAllCome(): boolean {
        return this.sources.clock.monotonic() - this.startedAt > gatewaysComeWithin;
    }

    /** Gateways that share what all have together. */
    private shares(): Pick<Watched, "gateways" | "gatewaysSettled"> {
        const { gatewaysBefore } = this.sources;
        const allCame = this.haveAllCome();
        return {
            gateways: Math.max(this.gatewayCount(), allCame ? 0 : gatewaysBefore),
            gatewaysSettled: allCame || gatewaysBefore > 0,
        };
    }

    private hasNews(watch: Watch): boolean {
        const { incarnation, announcements, held, document } = this.sources;
        return watch.incarnation !== incarnation
            || announcements.newest() > watch.cursor
            || held.newest() > (watch.crashCursor ?? 0)
            || document().version > watch.version;
    }

    /** Waits for something to change; tells whether it did within the time for which a watch is held open. */
    private nextChange(): Promise<boolean> {
        return new Promise(resolve => {
            const settle = (changed: boolean): void => {
                cancel();
                this.waiting.delete(wake);
                resolve(changed);
            };
            const wake = (): void => settle(true);
            const cancel = this.sources.clock.after(holdTime, () => settle(false));
            this.waiting.add(wake);
        });
    }

    /**
     * Waits as long as the watcher had news a moment ago. Watchers that come back for more count as well as those that
     * wait: while words come more often than answers travel, each answer would be followed by the next at once.
     */
    private async pace(watcher: string): Promise<void> {
        const { clock } = this.sources;
        const interval = Math.min(mostPace, paceForEachGateway * this.gateways.size);
        const wait = (this.newsAt.get(watcher) ?? -Infinity) + interval - clock.monotonic();
        if (wait > 0) {
            await new Promise<void>(resolve => clock.after(wait, resolve));
        }
        this.newsAt.set(watcher, clock.monotonic());
    }

    private answer(watch: Watch): Watched {
        const { incarnation, announcements, held, document, members } = this.sources;
        const current = document();
        const newer = watch.wantsDocument && current.version > watch.version;
        const isKnown = watch.incarnation === incarnation;
        const since = isKnown ? watch.cursor : 0;
        const crashes = held.since(isKnown ? watch.crashCursor ?? 0 : 0);
        const group = members();
        const ejected = this.sources.ejected();
        return {
            incarnation,
            cursor: announcements.newest(),
            version: current.version,
            ...newer ? { document: this.packed() } : {},
            announced: [...announcements.since(since)],
            members: [...group.members],
            failureDomain: this.sources.failureDomain,
            ...group.leader === undefined ? {} : { leader: group.leader },
            ...this.shares(),
            ...ejected.length === 0 ? {} : { ejected: [...ejected] },
            crashCursor: held.newest(),
            ...crashes.length === 0 ? {} : { crashes: [...crashes] },
        };
    }
}
