import { AppendOnlyFile, Disk } from "./disk.js";

type FileContent = { written: Buffer; synced: number; };

class MemoryFile extends AppendOnlyFile {
    private constructor(private readonly content: FileContent) {
        super();
    }

    static create(content: FileContent): MemoryFile {
        return new MemoryFile(content);
    }

    override async append(bytes: Uint8Array): Promise<void> {
        this.content.written = Buffer.concat([this.content.written, bytes]);
    }

    override async sync(): Promise<void> {
        this.content.synced = this.content.written.length;
    }

    override async close(): Promise<void> {}
}

/** An in-memory disk for tests and simulations that can simulate a power loss. */
export class MemoryDisk extends Disk {
    private readonly files = new Map<string, FileContent>();

    private constructor() {
        super();
    }

    static create(): MemoryDisk {
        return new MemoryDisk();
    }

    /** The disk after a power loss: each file keeps its synced bytes and at most `unsyncedBytes` of the bytes after them. */
    crash(unsyncedBytes = 0): MemoryDisk {
        const remaining = MemoryDisk.create();
        for (const [name, content] of this.files) {
            const kept = content.written.subarray(0, content.synced + unsyncedBytes);
            remaining.files.set(name, { written: Buffer.from(kept), synced: kept.length });
        }
        return remaining;
    }

    override async list(): Promise<readonly string[]> {
        return [...this.files.keys()];
    }

    override async read(name: string): Promise<Uint8Array | undefined> {
        return this.files.get(name)?.written;
    }

    override async open(name: string, length: number): Promise<AppendOnlyFile> {
        const content = this.files.get(name) ?? { written: Buffer.alloc(0), synced: 0 };
        content.written = Buffer.from(content.written.subarray(0, length));
        content.synced = content.written.length;
        this.files.set(name, content);
        return MemoryFile.create(content);
    }

    override async replace(name: string, bytes: Uint8Array): Promise<void> {
        this.files.set(name, { written: Buffer.from(bytes), synced: bytes.length });
    }

    override async rename(from: string, to: string): Promise<void> {
        const content = this.files.get(from);
        if (content !== undefined) {
            this.files.delete(from);
            this.files.set(to, content);
        }
    }

    override async remove(name: string): Promise<void> {
        this.files.delete(name);
    }
}
