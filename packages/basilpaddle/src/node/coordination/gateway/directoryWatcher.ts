import {
    type Announced,
    type CrashRecord,
    type CrashReport,
    documentSchema,
    unpackText,
    type Watch,
    type Watched,
    watchedSchema,
} from "../../protocol/index.js";
import { type Link, type Network, parseAddress } from "../../transport/index.js";
import type { Clock, Logger } from "../../utils/index.js";

/** Milliseconds for a watch to be answered: a directory holds it open for a second at the most. */
const watchPatience = 2_200;
/**
 * Milliseconds before a directory that gave no answer is asked again, at first and at the most. After a loss of power
 * everywhere gateways are up first, and every request waits until a directory is reached.
 */
const firstBackoff = 100;
const mostBackoff = 250;
/** Milliseconds that the directory nearby has to bring a newer configuration before another one is asked for it. */
const documentGrace = 150;
/** Milliseconds for a configuration to come. */
const documentPatience = 1_000;
/** Milliseconds for which the largest count of gateways is kept: two windows of the allowance that they share. */
const countMemory = 20_000;
/** Milliseconds after the start in which counts aren't trusted, and the gateways that are assumed meanwhile. */
const usualSettleTime = 4_000;
const unsettledGateways = 100;
/** Milliseconds for a directory to take a report, and times that it is told: its link may break, or it may be starting. */
const reportPatience = 400;
const reportTries = 8;
/** Milliseconds in which reports gather: with one engine go dozens of runs. */
const reportDelay = 10;
/** Most of them that a directory is told anew which has restarted: hundreds of gateways do so at once. */
const mostRetold = 200;
/** Milliseconds after which a directory that nobody names any more is forgotten. */
const forgetAfter = 20_000;

/** What a watcher needs. */
export type DirectoryWatcherOptions = {
    readonly name: string;
    /** Whether this is itself a directory, which isn't counted as a gateway. */
    readonly observer: boolean;
    readonly failureDomain: string;
    /** Names of the directories to begin with; looked at anew since settings may change. */
    readonly seeds: () => readonly string[];
    readonly network: Network;
    readonly clock: Clock;
    readonly logger: Logger;
    /** Milliseconds after the start in which the count of gateways isn't trusted. @default 4000 */
    readonly settleTime?: number | undefined;
    readonly onAnnounced: (announced: Announced) => void;
    /** Repeats that this gateway borrowed within the last window, for a new leader to know. @default none */
    readonly borrowed?: () => Watch["borrowed"];
    /** Gets what directories tell of requests under which backend servers ended. */
    readonly onCrashes: (records: readonly CrashRecord[]) => void;
    /** What each directory that starts anew is told of them. */
    readonly knownCrashes: () => readonly CrashRecord[];
    /** Gets each configuration that is newer than all before; without it none is fetched. */
    readonly onDocument?: (version: number, content: string) => void;
};

/** One directory as the watcher knows it. */
type Known = {
    readonly name: string;
    readonly link: Link;
    incarnation: string;
    cursor: number;
    crashCursor: number;
    failureDomain: string | undefined;
    reached: boolean;
    gateways: number;
    gatewaysSettled: boolean;
    /** Version of the newest configuration that it told of. */
    version: number;
    members: readonly string[];
    leader: string | undefined;
    ejected: readonly string[];
    namedAt: number;
};

/**
 * Watches all directories of the deployment at once and learns the others from those that it reaches. Every directory
 * tells only what it heard itself, so each word has one hop and no single directory's loss keeps one back.
 */
export class DirectoryWatcher {
    private readonly known = new Map<string, Known>();
    private version = -1;
    private most = 1;
    private mostAt = 0;
    private readonly startedAt: number;
    private closed = false;
    private unreported: CrashRecord[] = [];

    private constructor(private readonly options: DirectoryWatcherOptions) {
        this.startedAt = options.clock.monotonic();
    }

    static create(options: DirectoryWatcherOptions): DirectoryWatcher {
        const watcher = new DirectoryWatcher(options);
        watcher.meet(options.seeds());
        return watcher;
    }

    /** Name of the leader that most of the reached directories believe in. */
    leader(): string | undefined {
        const votes = new Map<string, number>();
        for (const directory of this.reached()) {
            if (directory.leader !== undefined) {
                votes.set(directory.leader, (votes.get(directory.leader) ?? 0) + 1);
            }
        }
        return [...votes].sort(([, one], [, other]) => other - one)[0]?.[0];
    }

    /** Backend servers of plain services that are ejected, as far as the leader knows and is reached. */
    ejected(): readonly string[] {
        const directory = this.known.get(this.leader() ?? "");
        return directory?.reached === true ? directory.ejected : [];
    }

    /** The link to a directory. */
    link(name: string): Link | undefined {
        return this.known.get(name)?.link;
    }

    /** Gateways of the deployment, this one included. */
    gateways(): number {
        return Math.max(1, ...this.reached().map(directory => directory.gateways));
    }

    /**
     * Most gateways that were told of lately. A directory that has just started counts those that have come back so far;
     * by its count each gateway would take a share of what all have that is many times too large.
     */
    mostGateways(): number {
        const now = this.options.clock.monotonic();
        const current = this.gateways();
        if (current >= this.most || now - this.mostAt > countMemory) {
            this.most = current;
            this.mostAt = now;
        }
        const settled = this.reached().some(directory => directory.gatewaysSettled);
        const unsettled = !settled && now - this.startedAt < (this.options.settleTime ?? usualSettleTime);
        return unsettled ? Math.max(this.most, unsettledGateways) : this.most;
    }

    /** Whether more than half of the directories that are named have answered their last watch. */
    reachesMajority(): boolean {
        const reached = this.reached();
        const named = new Set(reached.flatMap(directory => directory.members));
        return reached.filter(directory => named.has(directory.name)).length * 2 > named.size;
    }

    /** Tells every directory of requests under which backend servers ended, the leader or not: any may be gone next. */
    report(records: readonly CrashRecord[]): void {
        if (this.unreported.length === 0) {
            this.options.clock.after(reportDelay, () => this.sendReport());
        }
        this.unreported.push(...records);
    }

    /** Stops watching. */
    close(): void {
        this.closed = true;
        this.known.forEach(directory => directory.link.close());
    }

    private reached(): Known[] {
        return [...this.known.values()].filter(directory => directory.reached);
    }

    private meet(names: readonly string[]): void {
        const now = this.options.clock.monotonic();
        for (const name of names) {
            const known = this.known.get(name);
            if (known !== undefined) {
                known.namedAt = now;
                continue;
            }
            const address = parseAddress(name);
            if (address === undefined || name === this.options.name) {
                continue;
            }
            const directory: Known = {
                name,
                link: this.options.network.link(address),
                incarnation: "",
                cursor: 0,
                crashCursor: 0,
                failureDomain: undefined,
                reached: false,
                gateways: 0,
                gatewaysSettled: false,
                version: -1,
                members: [],
                leader: undefined,
                ejected: [],
                namedAt: now,
            };
            this.known.set(name, directory);
            void this.follow(directory);
        }
    }

    private async follow(directory: Known): Promise<void> {
        let backoff = firstBackoff;
        while (!this.closed && this.isNamed(directory)) {
            const watched = await this.watch(directory);
            if (watched !== undefined) {
                backoff = firstBackoff;
                this.note(directory, watched);
                continue;
            }
            this.noteLoss(directory);
            await new Promise<void>(resolve => this.options.clock.after(backoff, resolve));
            backoff = Math.min(mostBackoff, 2 * backoff);
            this.meet(this.options.seeds());
        }
        directory.link.close();
        this.known.delete(directory.name);
    }

    private async watch(directory: Known): Promise<Watched | undefined> {
        const { name, observer } = this.options;
        const wantsDocument = this.wantsDocument(directory);
        const borrowed = this.options.borrowed?.() ?? [];
        const answer = await directory.link.request({
            kind: "watch",
            gateway: name,
            // One that brings no document must not answer at once, again and again, that there is a newer one.
            version: wantsDocument ? this.version : Math.max(this.version, directory.version),
            incarnation: directory.incarnation,
            cursor: directory.cursor,
            crashCursor: directory.crashCursor,
            wantsDocument,
            observer,
            ...borrowed.length === 0 ? {} : { borrowed },
        }, watchPatience);
        const parsed = watchedSchema.safeParse(answer.toMaybe().extract());
        return parsed.success ? parsed.data : undefined;
    }

    private note(directory: Known, watched: Watched): void {
        if (!directory.reached) {
            this.options.logger.info("a directory is reached", { directory: directory.name, version: watched.version });
        }
        if (directory.incarnation !== watched.incarnation) {
            this.tellAll(directory);
        }
        directory.reached = true;
        directory.incarnation = watched.incarnation;
        directory.cursor = watched.cursor;
        directory.crashCursor = watched.crashCursor ?? 0;
        directory.failureDomain = watched.failureDomain;
        directory.gateways = watched.gateways;
        directory.gatewaysSettled = watched.gatewaysSettled ?? false;
        directory.version = watched.version;
        directory.members = watched.members;
        directory.leader = watched.leader;
        directory.ejected = watched.ejected ?? [];
        this.meet(watched.members);
        watched.announced.forEach(announced => this.options.onAnnounced(announced));
        if (watched.crashes !== undefined) {
            this.options.onCrashes(watched.crashes);
        }
        if (watched.document !== undefined) {
            this.take(watched.document.version, watched.document.packed);
        }
        else if (watched.version > this.version && this.options.onDocument !== undefined) {
            this.options.clock.after(documentGrace, () => void this.fetchDocument(directory, watched.version));
        }
    }

    private sendReport(): void {
        const records = this.unreported;
        this.unreported = [];
        this.known.forEach(directory => void this.deliver(directory, { kind: "crashes", records }));
    }

    private tellAll(directory: Known): void {
        const records = this.options.knownCrashes().slice(0, mostRetold);
        if (records.length > 0) {
            void this.deliver(directory, { kind: "crashes", records: [...records] });
        }
    }

    private async deliver(directory: Known, report: CrashReport): Promise<void> {
        for (let turn = 0; turn < reportTries && !this.closed; turn++) {
            const answer = await directory.link.request(report, reportPatience);
            if (answer.isRight()) {
                return;
            }
            await new Promise<void>(resolve => this.options.clock.after(firstBackoff, resolve));
        }
        this.options.logger.warn("a directory didn't take word of requests under which servers ended", {
            directory: directory.name,
            requests: report.records.length,
        });
    }

    private noteLoss(directory: Known): void {
        if (directory.reached && !this.closed) {
            this.options.logger.warn("a directory isn't reached any more", { directory: directory.name });
        }
        directory.reached = false;
    }

    /** The directory in the same failure domain brings the configuration: from all of them it would come several times. */
    private wantsDocument(directory: Known): boolean {
        if (this.options.onDocument === undefined) {
            return false;
        }
        const nearby = this.reached().filter(other => other.failureDomain === this.options.failureDomain);
        const [bringer] = nearby.length > 0 ? nearby : this.reached();
        return this.version < 0 || bringer === undefined || bringer === directory;
    }

    private async fetchDocument(directory: Known, version: number): Promise<void> {
        if (this.version >= version || this.closed) {
            return;
        }
        const answer = await directory.link.request({ kind: "document" }, documentPatience);
        const parsed = documentSchema.safeParse(answer.toMaybe().extract());
        if (parsed.success) {
            this.take(parsed.data.version, parsed.data.packed);
        }
        else {
            this.options.logger.warn("a newer configuration didn't come", { directory: directory.name, version });
        }
    }

    /** Takes a configuration in; never an older one than before, whichever directory sends it. */
    private take(version: number, packed: Uint8Array): void {
        if (version > this.version) {
            const content = unpackText(packed);
            this.version = version;
            this.options.onDocument?.(version, content);
        }
    }

    private isNamed(directory: Known): boolean {
        return directory.reached || this.options.clock.monotonic() - directory.namedAt < forgetAfter
            || this.options.seeds().includes(directory.name);
    }
}
