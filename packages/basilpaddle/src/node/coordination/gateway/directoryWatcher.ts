import {
    type CrashRecord,
    type CrashReport,
    packedDocumentSchema,
    type ServerAnnouncement,
    unpackText,
    type WatchRequest,
    type WatchUpdate,
    watchUpdateSchema,
} from "../../protocol/index.js";
import { type Link, type Network, parseAddress } from "../../transport/index.js";
import type { Clock, Logger } from "../../utils/index.js";

/** Timeout of a watch request: a directory holds it open for up to a second. */
const watchTimeoutMilliseconds = 2_200;
/**
 * Initial and maximum backoff after a directory didn't answer. After a power loss of all hosts, gateways start before the
 * directories, and every request waits until a directory is reached.
 */
const initialBackoffMilliseconds = 100;
const maximumBackoffMilliseconds = 250;
/** How long the preferred directory has to send a newer configuration before it is requested from another one. */
const documentGraceMilliseconds = 150;
/** Timeout of a request for a configuration. */
const documentTimeoutMilliseconds = 1_000;
/** How long the highest gateway count is kept: two windows of the retry allowance that the gateways share. */
const gatewayCountRetentionMilliseconds = 20_000;
/** How long after the start gateway counts may be too low, and the number of gateways assumed meanwhile. */
const defaultSettleMilliseconds = 4_000;
const assumedGateways = 100;
/** Timeout and number of attempts of a crash report to a directory: its link may fail, or it may be starting. */
const reportTimeoutMilliseconds = 400;
const reportAttempts = 8;
/** How long crash records are collected for one report: one engine's crash ends dozens of runs. */
const reportDelayMilliseconds = 10;
/** Maximum number of records resent to a directory that has restarted: hundreds of gateways do so at once. */
const maximumResentRecords = 200;
/** How long after no other directory names it any more an unreachable directory is dropped. */
const forgetAfterMilliseconds = 20_000;

/** Options of a directory watcher. */
export type DirectoryWatcherOptions = {
    readonly name: string;
    /** Whether this is itself a directory, which isn't counted as a gateway. */
    readonly observer: boolean;
    readonly failureDomain: string;
    /** Addresses of the directories to start with; read again on each failure, since settings may change. */
    readonly seeds: () => readonly string[];
    readonly network: Network;
    readonly clock: Clock;
    readonly logger: Logger;
    /** Milliseconds after the start in which the gateway count may be too low. @default 4000 */
    readonly settleTime?: number | undefined;
    readonly onAnnounced: (announced: ServerAnnouncement) => void;
    /** Retries that this gateway borrowed within the last window, reported for the sake of a new leader. @default none */
    readonly borrowed?: () => WatchRequest["borrowed"];
    /** Called with records of requests during which backend servers crashed. */
    readonly onCrashes: (records: readonly CrashRecord[]) => void;
    /** The records to send to a directory after its restart. */
    readonly knownCrashes: () => readonly CrashRecord[];
    /** Called with each configuration that is newer than all before; if absent, no configuration is fetched. */
    readonly onDocument?: (version: number, content: string) => void;
};

/** The tracked state of one directory. */
type WatchedDirectory = {
    readonly name: string;
    readonly link: Link;
    incarnation: string;
    cursor: number;
    crashCursor: number;
    failureDomain: string | undefined;
    reached: boolean;
    gateways: number;
    gatewaysSettled: boolean;
    /** Version of the newest configuration that it announced. */
    version: number;
    members: readonly string[];
    leader: string | undefined;
    ejected: readonly string[];
    lastNamedAt: number;
};

/**
 * Watches all directories of the deployment in parallel and discovers them from those that it reaches. Each directory
 * sends only the announcements that it received itself, so that they travel a single hop and the loss of one directory
 * doesn't withhold those of the others.
 */
export class DirectoryWatcher {
    private readonly directories = new Map<string, WatchedDirectory>();
    private version = -1;
    private highestCount = 1;
    private highestCountAt = 0;
    private readonly startedAt: number;
    private closed = false;
    private unreported: CrashRecord[] = [];

    private constructor(private readonly options: DirectoryWatcherOptions) {
        this.startedAt = options.clock.monotonic();
    }

    static create(options: DirectoryWatcherOptions): DirectoryWatcher {
        const watcher = new DirectoryWatcher(options);
        watcher.addDirectories(options.seeds());
        return watcher;
    }

    /** Name of the leader according to most of the reached directories. */
    leader(): string | undefined {
        const votes = new Map<string, number>();
        for (const directory of this.reached()) {
            if (directory.leader !== undefined) {
                votes.set(directory.leader, (votes.get(directory.leader) ?? 0) + 1);
            }
        }
        return [...votes].sort(([, one], [, other]) => other - one)[0]?.[0];
    }

    /** Ejected backend servers of plain services according to the leader; empty while the leader isn't reached. */
    ejected(): readonly string[] {
        const directory = this.directories.get(this.leader() ?? "");
        return directory?.reached === true ? directory.ejected : [];
    }

    /** The link to a directory; undefined if it isn't known. */
    link(name: string): Link | undefined {
        return this.directories.get(name)?.link;
    }

    /** Number of gateways of the deployment, including this one. */
    gateways(): number {
        return Math.max(1, ...this.reached().map(directory => directory.gateways));
    }

    /**
     * Highest recent gateway count. A directory that has just started counts only the gateways that have reconnected so far;
     * with that count each gateway would take a share of the common allowance that is many times too large.
     */
    highestRecentGateways(): number {
        const now = this.options.clock.monotonic();
        const current = this.gateways();
        if (current >= this.highestCount || now - this.highestCountAt > gatewayCountRetentionMilliseconds) {
            this.highestCount = current;
            this.highestCountAt = now;
        }
        const settled = this.reached().some(directory => directory.gatewaysSettled);
        const unsettled = !settled && now - this.startedAt < (this.options.settleTime ?? defaultSettleMilliseconds);
        return unsettled ? Math.max(this.highestCount, assumedGateways) : this.highestCount;
    }

    /** Whether more than half of the named members answered their last watch request. */
    reachesMajority(): boolean {
        const reached = this.reached();
        const named = new Set(reached.flatMap(directory => directory.members));
        return reached.filter(directory => named.has(directory.name)).length * 2 > named.size;
    }

    /** Reports requests during which backend servers crashed to every directory, not only the leader: any may fail next. */
    report(records: readonly CrashRecord[]): void {
        if (this.unreported.length === 0) {
            this.options.clock.after(reportDelayMilliseconds, () => this.sendReport());
        }
        this.unreported.push(...records);
    }

    /** Stops watching. */
    close(): void {
        this.closed = true;
        this.directories.forEach(directory => directory.link.close());
    }

    private reached(): WatchedDirectory[] {
        return [...this.directories.values()].filter(directory => directory.reached);
    }

    private addDirectories(names: readonly string[]): void {
        const now = this.options.clock.monotonic();
        for (const name of names) {
            const known = this.directories.get(name);
            if (known !== undefined) {
                known.lastNamedAt = now;
                continue;
            }
            const address = parseAddress(name);
            if (address === undefined || name === this.options.name) {
                continue;
            }
            const directory: WatchedDirectory = {
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
                lastNamedAt: now,
            };
            this.directories.set(name, directory);
            void this.follow(directory);
        }
    }

    private async follow(directory: WatchedDirectory): Promise<void> {
        let backoff = initialBackoffMilliseconds;
        while (!this.closed && this.isNamed(directory)) {
            const watched = await this.watch(directory);
            if (watched !== undefined) {
                backoff = initialBackoffMilliseconds;
                this.applyUpdate(directory, watched);
                continue;
            }
            this.markUnreachable(directory);
            await new Promise<void>(resolve => this.options.clock.after(backoff, resolve));
            backoff = Math.min(maximumBackoffMilliseconds, 2 * backoff);
            this.addDirectories(this.options.seeds());
        }
        directory.link.close();
        this.directories.delete(directory.name);
    }

    private async watch(directory: WatchedDirectory): Promise<WatchUpdate | undefined> {
        const { name, observer } = this.options;
        const wantsDocument = this.wantsDocument(directory);
        const borrowed = this.options.borrowed?.() ?? [];
        const answer = await directory.link.request({
            kind: "watch",
            gateway: name,
            // A directory that isn't asked for the document must not answer each watch at once because it has a newer one.
            version: wantsDocument ? this.version : Math.max(this.version, directory.version),
            incarnation: directory.incarnation,
            cursor: directory.cursor,
            crashCursor: directory.crashCursor,
            wantsDocument,
            observer,
            ...borrowed.length === 0 ? {} : { borrowed },
        }, watchTimeoutMilliseconds);
        const parsed = watchUpdateSchema.safeParse(answer.toMaybe().extract());
        return parsed.success ? parsed.data : undefined;
    }

    private applyUpdate(directory: WatchedDirectory, watched: WatchUpdate): void {
        if (!directory.reached) {
            this.options.logger.info("a directory is reached", { directory: directory.name, version: watched.version });
        }
        if (directory.incarnation !== watched.incarnation) {
            this.resendKnownCrashes(directory);
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
        this.addDirectories(watched.members);
        watched.announced.forEach(announced => this.options.onAnnounced(announced));
        if (watched.crashes !== undefined) {
            this.options.onCrashes(watched.crashes);
        }
        if (watched.document !== undefined) {
            this.applyDocument(watched.document.version, watched.document.packed);
        }
        else if (watched.version > this.version && this.options.onDocument !== undefined) {
            this.options.clock.after(
                documentGraceMilliseconds,
                () => void this.fetchDocument(directory, watched.version),
            );
        }
    }

    private sendReport(): void {
        const records = this.unreported;
        this.unreported = [];
        this.directories.forEach(directory => void this.deliver(directory, { kind: "crashes", records }));
    }

    private resendKnownCrashes(directory: WatchedDirectory): void {
        const records = this.options.knownCrashes().slice(0, maximumResentRecords);
        if (records.length > 0) {
            void this.deliver(directory, { kind: "crashes", records: [...records] });
        }
    }

    private async deliver(directory: WatchedDirectory, report: CrashReport): Promise<void> {
        for (let turn = 0; turn < reportAttempts && !this.closed; turn++) {
            const answer = await directory.link.request(report, reportTimeoutMilliseconds);
            if (answer.isRight()) {
                return;
            }
            await new Promise<void>(resolve => this.options.clock.after(initialBackoffMilliseconds, resolve));
        }
        this.options.logger.warn("a directory didn't acknowledge a crash report", {
            directory: directory.name,
            requests: report.records.length,
        });
    }

    private markUnreachable(directory: WatchedDirectory): void {
        if (directory.reached && !this.closed) {
            this.options.logger.warn("a directory isn't reached any more", { directory: directory.name });
        }
        directory.reached = false;
    }

    /**
     * Whether to request the configuration from this directory: preferably from the one in the same failure domain. If all
     * directories sent it, it would arrive several times.
     */
    private wantsDocument(directory: WatchedDirectory): boolean {
        if (this.options.onDocument === undefined) {
            return false;
        }
        const nearby = this.reached().filter(other => other.failureDomain === this.options.failureDomain);
        const [preferred] = nearby.length > 0 ? nearby : this.reached();
        return this.version < 0 || preferred === undefined || preferred === directory;
    }

    private async fetchDocument(directory: WatchedDirectory, version: number): Promise<void> {
        if (this.version >= version || this.closed) {
            return;
        }
        const answer = await directory.link.request({ kind: "document" }, documentTimeoutMilliseconds);
        const parsed = packedDocumentSchema.safeParse(answer.toMaybe().extract());
        if (parsed.success) {
            this.applyDocument(parsed.data.version, parsed.data.packed);
        }
        else {
            this.options.logger.warn("failed to fetch a newer configuration", { directory: directory.name, version });
        }
    }

    /** Applies a configuration unless it is older than the current one, whichever directory sends it. */
    private applyDocument(version: number, packed: Uint8Array): void {
        if (version > this.version) {
            const content = unpackText(packed);
            this.version = version;
            this.options.onDocument?.(version, content);
        }
    }

    private isNamed(directory: WatchedDirectory): boolean {
        return directory.reached || this.options.clock.monotonic() - directory.lastNamedAt < forgetAfterMilliseconds
            || this.options.seeds().includes(directory.name);
    }
}
