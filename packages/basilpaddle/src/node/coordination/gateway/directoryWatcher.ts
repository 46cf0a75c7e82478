import {
    type CrashRecord,
    type LimitObservation,
    packedDocumentSchema,
    type ServerAnnouncement,
    unpackText,
    type WatchUpdate,
} from "../../protocol/index.js";
import { type Link, type Network, parseAddress } from "../../transport/index.js";
import { type Clock, type Logger, runInBackground } from "../../utils/index.js";
import { CrashReports } from "./crashReports.js";
import { describeServers } from "./describeServers.js";
import { GatewayCount } from "./gatewayCount.js";
import { readUpdate } from "./readUpdate.js";
import { createWatchedDirectory, type KnownDirectory, type WatchedDirectory } from "./watchedDirectory.js";

/** Timeout of a watch request: a directory holds it open for up to a second. */
const watchTimeoutMilliseconds = 2_200;
/**
 * Initial and maximum backoff after a directory didn't answer. After a power loss of all hosts, gateways start before the
 * directories, and every request waits until a directory is reached.
 */
const initialBackoffMilliseconds = 100;
const maxBackoffMilliseconds = 250;
/** How long to wait for a newer configuration from the preferred directory before requesting it from another one. */
const documentGraceMilliseconds = 150;
/** Timeout of a request for a configuration. */
const documentTimeoutMilliseconds = 1_000;
/** How long, from the first answer on, the other directories' first answers are waited for. */
const firstAnswersMilliseconds = 150;
/** An unreachable directory is dropped after this time without being listed as a member by any other directory. */
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
    /** Called with each announcement and the directory that sent it. */
    readonly onAnnounced: (announced: ServerAnnouncement, directory: string) => void;
    /** Called with the limits of backend servers that the leader sends. */
    readonly onServerLimits?: (observed: readonly LimitObservation[]) => void;
    /** Called with crash histories of requests. */
    readonly onCrashes: (records: readonly CrashRecord[]) => void;
    /** The records to send to a directory after its restart. */
    readonly knownCrashes: () => readonly CrashRecord[];
    /** Called with each configuration that is newer than all before; if absent, no configuration is fetched. */
    readonly onDocument?: (version: number, content: string) => void;
    /** Called with a directory that is reached for the first time or again, or has been restarted. */
    readonly onDirectoryReached?: (directory: KnownDirectory) => void;
};

/**
 * Watches all directories of the deployment in parallel, and discovers them from the member lists of those that it reaches.
 * Each directory sends the announcements that it received itself, and all departures that it knows: they travel a single hop, and
 * the loss of one directory doesn't affect the announcements of the others.
 */
export class DirectoryWatcher {
    private readonly directories = new Map<string, WatchedDirectory>();
    private version = -1;
    private readonly gatewayCount: GatewayCount;
    private closed = false;
    /** Organisations that had used up their allowance, according to the last update of a leader. */
    private usedUp: ReadonlySet<string> = new Set();
    private readonly crashReports: CrashReports;
    /** The newest configuration, while it hasn't been delivered. */
    private undelivered: { readonly version: number; readonly content: string; } | undefined;
    private firstAnsweredAt: number | undefined;

    private constructor(private readonly options: DirectoryWatcherOptions) {
        this.gatewayCount = GatewayCount.create(options.clock.monotonic(), options.settleTime);
        this.crashReports = CrashReports.create({ ...options, directories: () => [...this.directories.values()] });
    }

    static create(options: DirectoryWatcherOptions): DirectoryWatcher {
        const watcher = new DirectoryWatcher(options);
        watcher.addDirectories(options.seeds());
        return watcher;
    }

    /**
     * Whether every known directory has answered or failed, or some time has passed since the first answer. Until then no
     * configuration is delivered, so that no request is sent: a directory that was cut off has missed what the others know, among
     * it which backend servers leave.
     */
    hasFirstAnswers(): boolean {
        const { clock } = this.options;
        return this.firstAnsweredAt !== undefined
            && (clock.monotonic() - this.firstAnsweredAt >= firstAnswersMilliseconds
                || [...this.directories.values()].every(({ asked }) => asked));
    }

    /** Name of the leader according to most of the reached directories. */
    leader(): string | undefined {
        const votesByLeader = new Map<string, number>();
        for (const directory of this.reachedDirectories()) {
            if (directory.leader !== undefined) {
                votesByLeader.set(directory.leader, (votesByLeader.get(directory.leader) ?? 0) + 1);
            }
        }
        return [...votesByLeader].sort(([, one], [, other]) => other - one)[0]?.[0];
    }

    /** Ejected backend servers of plain services according to the leader; empty while the leader isn't reached. */
    ejected(): readonly string[] {
        const directory = this.directories.get(this.leader() ?? "");
        return directory?.reached === true ? directory.ejected : [];
    }

    /** Whether the leader has to be asked for requests of the organisation, because it is near its limit. */
    isNearLimit(organisation: string): boolean {
        return this.directories.get(this.leader() ?? "")?.nearLimit.has(organisation) ?? false;
    }

    /** Whether the organisation had used up its allowance when a leader was last reached. */
    hasUsedUp(organisation: string): boolean {
        return this.usedUp.has(organisation);
    }

    /** The link to a directory; undefined if it isn't known. */
    link(name: string): Link | undefined {
        return this.directories.get(name)?.link;
    }

    /** All directories that are known, reached or not. */
    knownDirectories(): readonly KnownDirectory[] {
        return [...this.directories.values()];
    }

    /** Links to the directories that are reached. */
    reachedLinks(): readonly Link[] {
        return this.reachedDirectories().map(({ link }) => link);
    }

    /** Number of gateways of the deployment, including this one. */
    gateways(): number {
        return this.gatewayCount.current(this.reachedDirectories());
    }

    /** Highest recent number of gateways, by which limits that all share are divided. */
    highestRecentGateways(): number {
        return this.gatewayCount.highestRecent(this.reachedDirectories(), this.options.clock.monotonic());
    }

    /** Whether more than half of the named members answered their last watch request. */
    reachesMajority(): boolean {
        const reached = this.reachedDirectories();
        const listedMembers = new Set(reached.flatMap(directory => directory.members));
        return reached.filter(directory => listedMembers.has(directory.name)).length * 2 > listedMembers.size;
    }

    /** Reports crash histories of requests. Every directory receives them, not only the leader: any may fail next. */
    report(records: readonly CrashRecord[]): void {
        this.crashReports.report(records);
    }

    /** Stops watching. */
    close(): void {
        this.closed = true;
        this.crashReports.close();
        this.directories.forEach(directory => directory.link.close());
    }

    private reachedDirectories(): WatchedDirectory[] {
        return [...this.directories.values()].filter(directory => directory.reached);
    }

    private addDirectories(names: readonly string[]): void {
        const now = this.options.clock.monotonic();
        for (const name of names) {
            const known = this.directories.get(name);
            if (known !== undefined) {
                known.lastListedAt = now;
                continue;
            }
            const address = parseAddress(name);
            if (address === undefined || name === this.options.name) {
                continue;
            }
            const directory = createWatchedDirectory(name, this.options.network.link(address), now);
            this.directories.set(name, directory);
            void this.watchUntilForgotten(directory);
        }
    }

    private async watchUntilForgotten(directory: WatchedDirectory): Promise<void> {
        let backoff = initialBackoffMilliseconds;
        while (!this.closed && this.isListed(directory)) {
            const update = await this.sendWatchRequest(directory);
            directory.asked = true;
            if (update !== undefined && this.tryToApply(directory, update)) {
                backoff = initialBackoffMilliseconds;
                this.reviewFirstAnswers();
                continue;
            }
            this.markUnreachable(directory);
            this.reviewFirstAnswers();
            await new Promise<void>(resolve => this.options.clock.after(backoff, resolve));
            backoff = Math.min(maxBackoffMilliseconds, 2 * backoff);
            this.addDirectories(this.options.seeds());
        }
        directory.link.close();
        this.directories.delete(directory.name);
    }

    private applyAnnouncements({ name }: WatchedDirectory, announced: readonly ServerAnnouncement[]): void {
        if (announced.length > 0) {
            this.options.logger.info("a directory announced backend servers", {
                directory: name,
                count: announced.length,
                servers: describeServers(announced),
            });
        }
        announced.forEach(server => this.options.onAnnounced(server, name));
    }

    private reviewFirstAnswers(): void {
        if (this.firstAnsweredAt === undefined && this.reachedDirectories().length > 0) {
            this.firstAnsweredAt = this.options.clock.monotonic();
            this.options.clock.after(firstAnswersMilliseconds, () => this.reviewFirstAnswers());
        }
        this.deliverDocument();
    }

    private async sendWatchRequest(directory: WatchedDirectory): Promise<WatchUpdate | undefined> {
        const { name, observer } = this.options;
        const wantsDocument = this.wantsDocument(directory);
        const answer = await directory.link.request({
            kind: "watch",
            gateway: name,
            // A directory with a newer document answers at once. Unless the document is wanted from it, that must not happen.
            version: wantsDocument ? this.version : Math.max(this.version, directory.version),
            incarnation: directory.incarnation,
            cursor: directory.cursor,
            crashCursor: directory.crashCursor,
            limitCursor: directory.limitCursor,
            serverLimitCursor: directory.serverLimitCursor,
            wantsDocument,
            observer,
        }, watchTimeoutMilliseconds);
        return answer.caseOf({
            Left: () => undefined,
            Right: received => readUpdate(received, directory, this.options.logger),
        });
    }

    /** Applies an update; false if that fails: what one directory sends must not end this daemon, nor its watch of the others. */
    private tryToApply(directory: WatchedDirectory, update: WatchUpdate): boolean {
        try {
            this.applyUpdate(directory, update);
            return true;
        }
        catch (error) {
            this.options.logger.error("failed to apply a directory's update", { directory: directory.name, error });
            return false;
        }
    }

    private applyUpdate(directory: WatchedDirectory, update: WatchUpdate): void {
        if (!directory.reached) {
            this.options.logger.info("a directory is reached", { directory: directory.name, version: update.version });
        }
        if (directory.incarnation !== update.incarnation) {
            this.crashReports.resendKnown(directory);
        }
        if (directory.incarnation !== update.incarnation || !directory.reached) {
            this.options.onDirectoryReached?.(directory);
        }
        directory.reached = true;
        directory.incarnation = update.incarnation;
        directory.cursor = update.cursor;
        directory.crashCursor = update.crashCursor ?? 0;
        directory.limitCursor = update.limitCursor ?? 0;
        directory.serverLimitCursor = update.serverLimitCursor ?? 0;
        directory.failureDomain = update.failureDomain;
        directory.gateways = update.gateways;
        directory.gatewaysSettled = update.gatewaysSettled ?? false;
        directory.version = update.version;
        directory.members = update.members;
        directory.leader = update.leader;
        directory.ejected = update.ejected ?? [];
        directory.nearLimit = new Set(update.nearLimit);
        if (update.leader === directory.name) {
            this.usedUp = new Set(update.usedUp);
        }
        this.addDirectories(update.members);
        this.applyAnnouncements(directory, update.announced);
        if (update.serverLimits !== undefined) {
            this.options.onServerLimits?.(update.serverLimits);
        }
        if (update.crashes !== undefined) {
            this.options.onCrashes(update.crashes);
        }
        if (update.document !== undefined) {
            this.applyDocument(update.document.version, update.document.packed);
        }
        else if (update.version > this.version && this.options.onDocument !== undefined) {
            this.options.clock.after(
                documentGraceMilliseconds,
                () => {
                    const fields = { directory: directory.name, version: update.version };
                    const fetching = this.fetchDocument(directory, update.version);
                    runInBackground(fetching, this.options.logger, "failed to apply a newer configuration", fields);
                },
            );
        }
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
        const nearby = this.reachedDirectories().filter(other => other.failureDomain === this.options.failureDomain);
        const [preferred] = nearby.length > 0 ? nearby : this.reachedDirectories();
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
            this.undelivered = { version, content: unpackText(packed) };
            this.version = version;
            this.deliverDocument();
        }
    }

    private deliverDocument(): void {
        const document = this.hasFirstAnswers() ? this.undelivered : undefined;
        if (document !== undefined) {
            this.undelivered = undefined;
            this.options.onDocument?.(document.version, document.content);
        }
    }

    private isListed(directory: WatchedDirectory): boolean {
        return directory.reached || this.options.clock.monotonic() - directory.lastListedAt < forgetAfterMilliseconds
            || this.options.seeds().includes(directory.name);
    }
}
