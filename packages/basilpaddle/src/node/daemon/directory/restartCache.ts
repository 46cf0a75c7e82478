import { decode, encode } from "cbor-x";
import { z } from "zod";
import type { CommittedPosition } from "../../coordination/index.js";
import {
    type CrashRecord,
    crashRecordSchema,
    readableItems,
    type ServerAnnouncement,
    serverAnnouncementSchema,
    type StoredVersionHistory,
    storedVersionHistorySchema,
} from "../../protocol/index.js";
import { type Disk, readSnapshot, writeSnapshot } from "../../state/index.js";
import type { Clock, Logger } from "../../utils/index.js";

/** File name, in the same folder as the replica's files. */
const restartCacheFile = "recollection";
/** Delay from a change to its write: changes come in bursts, and each write costs two disk syncs. */
const writeDelayMilliseconds = 150;
/**
 * Age from which stored backend servers are discarded as outdated: many heartbeat intervals, since it is measured by the wall
 * clock, which may jump by some seconds. A server that is restored by mistake is marked silent after two missed heartbeats.
 */
const maxServerAgeMilliseconds = 60_000;

const descriptionSchema = z.object({
    /** Identity of the group member to which the committed mark belongs. */
    identity: z.string(),
    committed: z.object({ index: z.int().min(0), term: z.int().min(0) }),
    /** Number of connected gateways. */
    gateways: z.int().min(0),
    /** Crash histories of requests. */
    crashes: readableItems(crashRecordSchema).default([]),
    /** Software versions of engines. */
    versions: storedVersionHistorySchema.optional(),
    /** Wall clock time in Unix milliseconds. */
    writtenAt: z.number(),
});
const serversSchema = readableItems(serverAnnouncementSchema);

/** State that is kept across a restart. */
export type RestartState = {
    readonly identity: string;
    readonly committed: CommittedPosition;
    readonly servers: readonly ServerAnnouncement[];
    readonly gateways: number;
    readonly crashes: readonly CrashRecord[];
    readonly versions: StoredVersionHistory | undefined;
};

/** Dependencies of `RestartCache`. */
export type RestartCacheOptions = {
    /** Opens the folder; called again after a failure. */
    readonly openDisk: () => Promise<Disk>;
    readonly clock: Clock;
    readonly logger: Logger;
};

/**
 * State that a directory keeps across a restart beside its log: the newest entry that it knew to be committed, the backend
 * servers that it considered present, those that leave or have left, the number of gateways, crash records, and the software versions of engines. It may be outdated or
 * missing. Only departures are promised by it, which is why several directories store each before it is acknowledged. It shortens the time to serve requests again after a power loss of the whole deployment,
 * which would otherwise have to wait for an election (half a second) and for heartbeats (more than a second).
 */
export class RestartCache {
    private source: (() => RestartState | undefined) | undefined;
    private writeScheduled = false;
    private currentWrite: Promise<boolean> | undefined;
    /** The write that begins once the current one has ended. */
    private nextWrite: Promise<boolean> | undefined;
    private closed = false;
    private disk: Disk | undefined;

    private constructor(
        private readonly options: RestartCacheOptions,
        private readonly restored: RestartState | undefined,
    ) {}

    /**
     * Reads the stored state. A file or folder that can't be read counts as missing, so that a directory with a failing disk
     * continues with everything that needs no disk.
     */
    static async create(options: RestartCacheOptions): Promise<RestartCache> {
        return new RestartCache(options, await readRestartState(options));
    }

    /** The newest entry known to be committed; undefined if it was stored under another identity. */
    committed(identity: string): CommittedPosition | undefined {
        return this.restored?.identity === identity ? this.restored.committed : undefined;
    }

    /** Restored backend servers. */
    servers(): readonly ServerAnnouncement[] {
        return this.restored?.servers ?? [];
    }

    /** Crash histories of requests. Without them each such request could crash as many servers again. */
    crashes(): readonly CrashRecord[] {
        return this.restored?.crashes ?? [];
    }

    /** Software versions of engines; undefined if none are stored, or they are outdated. */
    versions(): StoredVersionHistory | undefined {
        return this.restored?.versions;
    }

    /** Restored number of gateways; 0 if none is stored. */
    gateways(): number {
        return this.restored?.gateways ?? 0;
    }

    /** Sets the source of the state to write. It returns undefined while no state is reliable; nothing is written then. */
    setSource(source: () => RestartState | undefined): void {
        this.source = source;
    }

    /** Schedules a write of the current state. */
    markChanged(): void {
        if (!this.writeScheduled && !this.closed) {
            this.writeScheduled = true;
            this.options.clock.after(writeDelayMilliseconds, () => {
                this.writeScheduled = false;
                void this.flush();
            });
        }
    }

    /** Writes the current state now; returns whether that succeeded. */
    flush(): Promise<boolean> {
        if (this.currentWrite === undefined) {
            this.currentWrite = this.write().finally(() => {
                this.currentWrite = undefined;
            });
            return this.currentWrite;
        }
        // A disk may hang for seconds: there is one write at a time, and only the newest state waits behind it.
        this.nextWrite ??= this.currentWrite.then(() => {
            this.nextWrite = undefined;
            return this.flush();
        });
        return this.nextWrite;
    }

    /** Stops writing; a scheduled write is dropped. */
    close(): void {
        this.closed = true;
    }

    private async write(): Promise<boolean> {
        const state = this.closed ? undefined : this.source?.();
        if (state === undefined) {
            return false;
        }
        try {
            await this.writeState(state);
            return true;
        }
        catch (error) {
            this.options.logger.warn("failed to write the restart cache; the next change triggers another write", {
                error,
            });
            return false;
        }
    }

    private async writeState({ servers, ...description }: RestartState): Promise<void> {
        const { openDisk, clock } = this.options;
        this.disk ??= await openDisk();
        await writeSnapshot(this.disk, restartCacheFile, {
            description: encode({ ...description, writtenAt: clock.wall() }),
            data: encode(servers),
        });
    }
}

async function readRestartState({ openDisk, clock, logger }: RestartCacheOptions): Promise<RestartState | undefined> {
    try {
        const stored = await readSnapshot(await openDisk(), restartCacheFile);
        if (stored === undefined) {
            return undefined;
        }
        const { identity, committed, gateways, crashes, versions, writtenAt } = descriptionSchema.parse(
            decode(stored.description),
        );
        const elapsedMilliseconds = clock.wall() - writtenAt;
        const isRecent = Math.abs(elapsedMilliseconds) < maxServerAgeMilliseconds;
        const servers = isRecent ? serversSchema.parse(decode(stored.data)) : [];
        return {
            identity,
            committed,
            servers: servers.map(addLeavingTime(elapsedMilliseconds)),
            gateways: isRecent ? gateways : 0,
            crashes: crashes.map(addAge(elapsedMilliseconds)),
            versions: isRecent ? versions : undefined,
        };
    }
    catch (error) {
        logger.warn("failed to read the restart cache; continuing without it", { cause: String(error) });
        return undefined;
    }
}

/** Adds the time since the write to the time for which a backend server has been known to leave; 0 if the wall clock has been set back since. */
function addLeavingTime(elapsedMilliseconds: number): (server: ServerAnnouncement) => ServerAnnouncement {
    const addedMilliseconds = Math.max(0, elapsedMilliseconds);
    return server => {
        const { leavingFor } = server;
        return leavingFor === undefined ? server : { ...server, leavingFor: leavingFor + addedMilliseconds };
    };
}

/** Adds the time since the write to a record's ages; 0 if the wall clock has been set back since. */
function addAge(elapsedMilliseconds: number): (record: CrashRecord) => CrashRecord {
    const addedMilliseconds = Math.max(0, elapsedMilliseconds);
    const addTo = <Event extends { readonly age: number; }>(event: Event): Event => ({
        ...event,
        age: event.age + addedMilliseconds,
    });
    return ({ digest, crashes, clearedAge, begun }) => ({
        digest,
        crashes: crashes.map(addTo),
        ...begun === undefined ? {} : { begun: begun.map(addTo) },
        ...clearedAge === undefined ? {} : { clearedAge: clearedAge + addedMilliseconds },
    });
}
