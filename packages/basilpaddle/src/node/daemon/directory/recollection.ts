import { decode, encode } from "cbor-x";
import { z } from "zod";
import type { CommittedMark } from "../../coordination/index.js";
import { type Announced, announcedSchema, type CrashRecord, crashRecordSchema } from "../../protocol/index.js";
import { type Disk, readSnapshot, writeSnapshot } from "../../state/index.js";
import type { Clock, Logger } from "../../utils/index.js";

/** Name of the file, beside those of the replica. */
const recollectionFile = "recollection";
/** Milliseconds between a change and its writing: changes come in bursts, and each writing costs two syncs of the disk. */
const writeDelay = 150;
/**
 * Milliseconds after which what was believed of backend servers says nothing any more: many heartbeats. By the time of
 * day, which may jump by some seconds; what is recalled in error is found silent after two heartbeats.
 */
const serversLast = 60_000;

const descriptionSchema = z.object({
    /** The member's identity that the mark belongs to. */
    identity: z.string(),
    committed: z.object({ index: z.int().min(0), term: z.int().min(0) }),
    /** Gateways that shared the work. */
    gateways: z.int().min(0),
    /** Requests under which backend servers ended. */
    crashes: z.array(crashRecordSchema).default([]),
    /** Unix milliseconds. */
    writtenAt: z.number(),
});
const serversSchema = z.array(announcedSchema);

/** What is worth remembering at one moment. */
export type Memorable = {
    readonly identity: string;
    readonly committed: CommittedMark;
    readonly servers: readonly Announced[];
    readonly gateways: number;
    readonly crashes: readonly CrashRecord[];
};

/** What a recollection needs. */
export type RecollectionOptions = {
    /** Opens the folder; asked again where it failed. */
    readonly openDisk: () => Promise<Disk>;
    readonly clock: Clock;
    readonly logger: Logger;
};

/**
 * What a directory remembers across a restart beside its log: which entry it knew to be committed, and which backend
 * servers it believed in. Nothing depends on it for being right, and it may be old or missing; it shortens the time from
 * a loss of power everywhere until requests are served again, by the election (half a second) and the heartbeats (more
 * than a second) that would have to be waited for.
 */
export class Recollection {
    private source: (() => Memorable | undefined) | undefined;
    private writing = false;
    private pending = false;
    private closed = false;
    private disk: Disk | undefined;

    private constructor(
        private readonly options: RecollectionOptions,
        private readonly before: Memorable | undefined,
    ) {}

    /**
     * Reads what was remembered. A file, or a folder, that can't be read counts as none: a directory with a failing disk
     * goes on with all that needs no disk.
     */
    static async create(options: RecollectionOptions): Promise<Recollection> {
        return new Recollection(options, await remembered(options));
    }

    /** What was known to be committed under the identity. */
    committed(identity: string): CommittedMark | undefined {
        return this.before?.identity === identity ? this.before.committed : undefined;
    }

    /** Backend servers that were believed in. */
    servers(): readonly Announced[] {
        return this.before?.servers ?? [];
    }

    /** Requests under which backend servers ended. Forgotten, each would crash as many again. */
    crashes(): readonly CrashRecord[] {
        return this.before?.crashes ?? [];
    }

    /** Gateways that shared the work; 0 where nothing is remembered. */
    gateways(): number {
        return this.before?.gateways ?? 0;
    }

    /** Says where to take from what is to be remembered; undefined while there is nothing to be sure of. */
    keep(source: () => Memorable | undefined): void {
        this.source = source;
    }

    /** Writes it down again soon. */
    changed(): void {
        if (!this.pending && !this.closed) {
            this.pending = true;
            this.options.clock.after(writeDelay, () => void this.write());
        }
    }

    /** Writes no more. */
    close(): void {
        this.closed = true;
    }

    private async write(): Promise<void> {
        if (this.writing) {
            // A disk may hang for seconds: one writing at a time, and none is queued behind it but the newest.
            this.options.clock.after(writeDelay, () => void this.write());
            return;
        }
        this.pending = false;
        const memorable = this.closed ? undefined : this.source?.();
        if (memorable === undefined) {
            return;
        }
        this.writing = true;
        try {
            await this.replace(memorable);
        }
        catch (error) {
            this.options.logger.warn("what is to be remembered wasn't written; the next change is", { error });
        }
        finally {
            this.writing = false;
        }
    }

    private async replace({ identity, committed, servers, gateways, crashes }: Memorable): Promise<void> {
        const { openDisk, clock } = this.options;
        this.disk ??= await openDisk();
        await writeSnapshot(this.disk, recollectionFile, {
            description: encode({ identity, committed, gateways, crashes, writtenAt: clock.wall() }),
            data: encode(servers),
        });
    }
}

async function remembered({ openDisk, clock, logger }: RecollectionOptions): Promise<Memorable | undefined> {
    try {
        const stored = await readSnapshot(await openDisk(), recollectionFile);
        if (stored === undefined) {
            return undefined;
        }
        const { identity, committed, gateways, crashes, writtenAt } = descriptionSchema.parse(
            decode(stored.description),
        );
        const passed = clock.wall() - writtenAt;
        const isRecent = Math.abs(passed) < serversLast;
        const servers = isRecent ? serversSchema.parse(decode(stored.data)) : [];
        return { identity, committed, servers, gateways: isRecent ? gateways : 0, crashes: crashes.map(aged(passed)) };
    }
    catch (error) {
        logger.warn("what was remembered can't be read; going on without it", { cause: String(error) });
        return undefined;
    }
}

/** Adds the time that the process was away to what a record tells; by the time of day, which may have been set back. */
function aged(passed: number): (record: CrashRecord) => CrashRecord {
    const later = Math.max(0, passed);
    return ({ digest, crashes, clearedAge }) => ({
        digest,
        crashes: crashes.map(crash => ({ ...crash, age: crash.age + later })),
        ...clearedAge === undefined ? {} : { clearedAge: clearedAge + later },
    });
}
