import { Damage } from "../damage.js";
import type { AppendOnlyFile, Disk } from "../disk.js";
import { frameRecord, readRecords, type StoredRecord } from "./record.js";

/** First bytes of a log file; the last byte is the version of the format. */
const header = Buffer.from("bplog\x00\x00\x01", "latin1");

type Deferred = { readonly resolve: () => void; readonly reject: (error: unknown) => void; };
type AppendTask = Deferred & { readonly kind: "append"; readonly bytes: readonly Buffer[]; };
type ReplaceTask = Deferred & {
    readonly kind: "replace";
    readonly records: readonly Uint8Array[];
    readonly beforeReplace: () => Promise<void>;
};

/** Options of a log file. */
export type LogFileOptions = {
    /** Maximum number of records that share one sync; 1 syncs each record separately. @default no limit */
    readonly groupLimit?: number;
    /**
     * Whether a power loss may leave any part of the last, unsynced write, for example its length without its bytes.
     * Such a tail was never acknowledged and is truncated; if it were treated as corruption, a power loss on all hosts
     * would cost each of them its vote at once. If false, a corrupt last record throws `Damage`. @default false
     */
    readonly tornTail?: boolean;
};

/** An opened log file and its content. */
export type OpenedLogFile = {
    readonly file: LogFile;
    readonly records: readonly StoredRecord[];
    /** Number of bytes of an incomplete last record that were truncated. */
    readonly truncatedBytes: number;
};

/**
 * A file of checksummed records that is only appended to or rewritten as a whole. Uses group commit: records appended
 * during a sync are queued, then written and synced together.
 */
export class LogFile {
    private queue: (AppendTask | ReplaceTask)[] = [];
    private worker: Promise<void> | undefined;
    private failure: unknown;
    private file: AppendOnlyFile | undefined;
    private syncCount = 0;

    private constructor(
        private readonly disk: Disk,
        private readonly name: string,
        private readonly options: LogFileOptions,
    ) {}

    /** Writes a new log file with the given records; replaces an existing one of the same name. */
    static async initialise(disk: Disk, name: string, records: readonly Uint8Array[]): Promise<void> {
        await disk.replace(name, Buffer.concat([header, ...records.map(frameRecord)]));
    }

    /** Opens a log file, truncates a torn tail and reads the records. Throws `Damage` if the file is missing or corrupt. */
    static async create(disk: Disk, name: string, options: LogFileOptions = {}): Promise<OpenedLogFile> {
        const bytes = await disk.read(name);
        if (bytes === undefined) {
            throw Damage.create(name, 0, "the file is missing");
        }
        const buffer = Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength);
        if (!buffer.subarray(0, header.length).equals(header)) {
            throw Damage.create(name, 0, "it doesn't start with the header of a version 1 log file");
        }
        const { records, end } = readRecords(name, buffer, header.length, options.tornTail);
        const log = new LogFile(disk, name, options);
        // Truncates the torn tail before the next append: if a record followed it, it would be treated as corruption.
        log.file = await disk.open(name, end);
        return { file: log, records, truncatedBytes: buffer.length - end };
    }

    /** Resolves once the records are synced. After a failure all later calls fail, since the content on disk is unknown. */
    async append(records: readonly Uint8Array[]): Promise<void> {
        const limit = this.options.groupLimit ?? records.length;
        const appends: Promise<void>[] = [];
        for (let from = 0; from < records.length; from += limit) {
            const bytes = records.slice(from, from + limit).map(frameRecord);
            appends.push(this.enqueue(deferred => ({ ...deferred, kind: "append", bytes })));
        }
        await Promise.all(appends);
    }

    /**
     * Replaces the whole content with the given records once earlier calls are done. `beforeReplace` is awaited first,
     * to write what has to be on disk before the replacement.
     */
    rewrite(records: readonly Uint8Array[], beforeReplace: () => Promise<void> = async () => {}): Promise<void> {
        return this.enqueue(deferred => ({ ...deferred, kind: "replace", records, beforeReplace }));
    }

    /** Number of syncs made by `append` so far. */
    syncs(): number {
        return this.syncCount;
    }

    /** Waits for pending calls and closes the file. */
    async close(): Promise<void> {
        while (this.worker !== undefined) {
            await this.worker;
        }
        await this.file?.close();
        this.file = undefined;
    }

    private enqueue(createTask: (deferred: Deferred) => AppendTask | ReplaceTask): Promise<void> {
        return new Promise((resolve, reject) => {
            this.queue.push(createTask({ resolve, reject }));
            this.worker ??= this.processQueue();
        });
    }

    private async processQueue(): Promise<void> {
        // Defers to a microtask, so that calls of the same turn share one group.
        await Promise.resolve();
        for (let group = this.takeGroup(); group.length > 0; group = this.takeGroup()) {
            await this.commit(group);
        }
        this.worker = undefined;
    }

    /** Dequeues all appends before the next rewrite, or a rewrite alone. With a group limit, dequeues a single append. */
    private takeGroup(): readonly (AppendTask | ReplaceTask)[] {
        if (this.queue[0]?.kind === "replace") {
            return this.queue.splice(0, 1);
        }
        const replacement = this.queue.findIndex(task => task.kind === "replace");
        const appends = replacement < 0 ? this.queue.length : replacement;
        return this.queue.splice(0, this.options.groupLimit === undefined ? appends : 1);
    }

    private async commit(group: readonly (AppendTask | ReplaceTask)[]): Promise<void> {
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

    private async write(group: readonly (AppendTask | ReplaceTask)[]): Promise<void> {
        // After a failed sync the kernel may have dropped dirty pages, so a later successful sync would prove nothing.
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

    private async replaceAll(task: ReplaceTask): Promise<void> {
        await task.beforeReplace();
        const bytes = Buffer.concat([header, ...task.records.map(frameRecord)]);
        await this.file?.close();
        this.file = undefined;
        await this.disk.replace(this.name, bytes);
        this.file = await this.disk.open(this.name, bytes.length);
    }
}
