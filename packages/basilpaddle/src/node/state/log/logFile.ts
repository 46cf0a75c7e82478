import { Damage } from "../damage.js";
import type { Disk, File } from "../disk.js";
import { frameRecord, readRecords, type StoredRecord } from "./record.js";

/** First bytes of a log file; the last of them is the version of the format. */
const header = Buffer.from("bplog\x00\x00\x01", "latin1");

type Settle = { readonly resolve: () => void; readonly reject: (error: unknown) => void; };
type Append = Settle & { readonly kind: "append"; readonly bytes: readonly Buffer[]; };
type Replace = Settle & {
    readonly kind: "replace";
    readonly records: readonly Uint8Array[];
    readonly before: () => Promise<void>;
};

/** How a log file is written. */
export type LogFileOptions = {
    /** Most records that share one sync; 1 syncs for each. @default no limit */
    readonly groupLimit?: number;
    /**
     * Whether a loss of power may leave any part of the last, unsynced write: its length without its bytes, say. Such a
     * tail was never acknowledged and is cut; taken for damage, it would cost each host its vote at the same moment.
     * Off, a damaged last record makes the whole file untrusted. @default false
     */
    readonly tornTail?: boolean;
};

/** An opened log file with what it held. */
export type OpenedLogFile = {
    readonly file: LogFile;
    readonly records: readonly StoredRecord[];
    /** Bytes of an incomplete last record that were cut off. */
    readonly cut: number;
};

/**
 * A file of checksummed records that is only appended to, or replaced as a whole. Group commit: records that come
 * while a sync runs wait for it, and are then written and synced together.
 */
export class LogFile {
    private waiting: (Append | Replace)[] = [];
    private working: Promise<void> | undefined;
    private failure: unknown;
    private file: File | undefined;
    private syncCount = 0;

    private constructor(
        private readonly disk: Disk,
        private readonly name: string,
        private readonly options: LogFileOptions,
    ) {}

    /** Writes a new log file that holds the records; an older one of the name is replaced. */
    static async initialise(disk: Disk, name: string, records: readonly Uint8Array[]): Promise<void> {
        await disk.replace(name, Buffer.concat([header, ...records.map(frameRecord)]));
    }

    /** Opens a log file, cuts a torn tail, and gives the records. A missing or untrusted file throws `Damage`. */
    static async create(disk: Disk, name: string, options: LogFileOptions = {}): Promise<OpenedLogFile> {
        const bytes = await disk.read(name);
        if (bytes === undefined) {
            throw Damage.create(name, 0, "the file is missing");
        }
        const buffer = Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength);
        if (!buffer.subarray(0, header.length).equals(header)) {
            throw Damage.create(name, 0, "it doesn't begin with the header of a log file of version 1");
        }
        const { records, end } = readRecords(name, buffer, header.length, options.tornTail);
        const log = new LogFile(disk, name, options);
        // The tail has to go before the next append: a record after it would make it damage in the middle.
        log.file = await disk.open(name, end);
        return { file: log, records, cut: buffer.length - end };
    }

    /** Comes back once the records are synced. After a failure every later call fails: what is on disk is unknown. */
    async append(records: readonly Uint8Array[]): Promise<void> {
        const limit = this.options.groupLimit ?? records.length;
        const appends: Promise<void>[] = [];
        for (let from = 0; from < records.length; from += limit) {
            const bytes = records.slice(from, from + limit).map(frameRecord);
            appends.push(this.enqueue(settle => ({ ...settle, kind: "append", bytes })));
        }
        await Promise.all(appends);
    }

    /** Replaces everything by the given records, after earlier calls; `before` runs first, for what must be on disk by then. */
    rewrite(records: readonly Uint8Array[], before: () => Promise<void> = async () => {}): Promise<void> {
        return this.enqueue(settle => ({ ...settle, kind: "replace", records, before }));
    }

    /** Syncs made by `append` so far. */
    syncs(): number {
        return this.syncCount;
    }

    /** Waits for what was appended, and releases the file. */
    async close(): Promise<void> {
        while (this.working !== undefined) {
            await this.working;
        }
        await this.file?.close();
        this.file = undefined;
    }

    private enqueue(make: (settle: Settle) => Append | Replace): Promise<void> {
        return new Promise((resolve, reject) => {
            this.waiting.push(make({ resolve, reject }));
            this.working ??= this.work();
        });
    }

    private async work(): Promise<void> {
        // Calls of the same turn come to stand in one group.
        await Promise.resolve();
        for (let group = this.nextGroup(); group.length > 0; group = this.nextGroup()) {
            await this.commit(group);
        }
        this.working = undefined;
    }

    /** The appends up to the next replacement, or that replacement alone. */
    private nextGroup(): readonly (Append | Replace)[] {
        if (this.waiting[0]?.kind === "replace") {
            return this.waiting.splice(0, 1);
        }
        const replacement = this.waiting.findIndex(task => task.kind === "replace");
        const appends = replacement < 0 ? this.waiting.length : replacement;
        return this.waiting.splice(0, this.options.groupLimit === undefined ? appends : 1);
    }

    private async commit(group: readonly (Append | Replace)[]): Promise<void> {
        try {
            await this.write(group);
        }
        catch (error) {
            this.failure = error;
            group.forEach(task => task.reject(error));
            return;
        }
        group.forEach(task => task.resolve());
    }

    private async write(group: readonly (Append | Replace)[]): Promise<void> {
        // After a failed sync the kernel may have dropped the pages: a later sync that passes would prove nothing.
        if (this.failure !== undefined) {
            throw this.failure;
        }
        const [first] = group;
        if (first?.kind === "replace") {
            await this.replaceAll(first);
            return;
        }
        if (this.file === undefined) {
            throw new Error(`The log file ${this.name} is closed.`);
        }
        await this.file.append(Buffer.concat(group.flatMap(task => task.kind === "append" ? task.bytes : [])));
        await this.file.sync();
        this.syncCount += 1;
    }

    private async replaceAll(task: Replace): Promise<void> {
        await task.before();
        const bytes = Buffer.concat([header, ...task.records.map(frameRecord)]);
        await this.file?.close();
        this.file = undefined;
        await this.disk.replace(this.name, bytes);
        this.file = await this.disk.open(this.name, bytes.length);
    }
}
