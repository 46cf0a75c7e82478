import { constants } from "node:fs";
import * as fs from "node:fs/promises";
import * as path from "node:path";
import writeFileAtomic from "write-file-atomic";
import { AppendOnlyFile, Disk } from "./disk.js";

/** Matches the temporary files of write-file-atomic: the file's name, a dot and a number. */
const temporaryFileName = /\.\d+$/;

class FolderFile extends AppendOnlyFile {
    private constructor(private readonly handle: fs.FileHandle) {
        super();
    }

    static create(handle: fs.FileHandle): FolderFile {
        return new FolderFile(handle);
    }

    override async append(bytes: Uint8Array): Promise<void> {
        // A write may be partial; without the loop the remaining bytes would be missing in the middle of the file.
        for (let offset = 0; offset < bytes.length;) {
            const { bytesWritten } = await this.handle.write(bytes, offset, bytes.length - offset);
            offset += bytesWritten;
        }
    }

    override sync(): Promise<void> {
        return this.handle.datasync();
    }

    override close(): Promise<void> {
        return this.handle.close();
    }
}

/** A disk backed by a folder of the host's file system. */
export class FolderDisk extends Disk {
    private constructor(private readonly folder: string) {
        super();
    }

    /**
     * Creates the folder if it is missing, and removes the temporary files of interrupted replacements. Call it before
     * anything in the process writes to the folder: the temporary file of a replacement in progress looks the same.
     */
    static async create(folder: string): Promise<FolderDisk> {
        const disk = await FolderDisk.createWithoutCleanup(folder);
        for (const name of await fs.readdir(folder)) {
            if (temporaryFileName.test(name)) {
                await fs.rm(disk.path(name), { force: true });
            }
        }
        return disk;
    }

    /** Like `create`, but removes nothing: for a folder that other parts of the process may be writing to. */
    static async createWithoutCleanup(folder: string): Promise<FolderDisk> {
        await fs.mkdir(folder, { recursive: true });
        return new FolderDisk(folder);
    }

    override list(): Promise<readonly string[]> {
        return fs.readdir(this.folder);
    }

    override async read(name: string): Promise<Uint8Array | undefined> {
        try {
            return await fs.readFile(this.path(name));
        }
        catch (error) {
            if ((error as NodeJS.ErrnoException).code === "ENOENT") {
                return undefined;
            }
            throw error;
        }
    }

    override async open(name: string, length: number): Promise<AppendOnlyFile> {
        const flags = constants.O_CREAT | constants.O_WRONLY | constants.O_APPEND;
        const handle = await fs.open(this.path(name), flags, 0o600);
        await handle.truncate(length);
        await handle.sync();
        await this.syncFolder();
        return FolderFile.create(handle);
    }

    override async replace(name: string, bytes: Uint8Array): Promise<void> {
        await writeFileAtomic(this.path(name), Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength), {
            mode: 0o600,
        });
        await this.syncFolder();
    }

    override async rename(from: string, to: string): Promise<void> {
        await fs.rename(this.path(from), this.path(to));
        await this.syncFolder();
    }

    override async remove(name: string): Promise<void> {
        await fs.rm(this.path(name), { force: true });
        await this.syncFolder();
    }

    /** Syncing a file doesn't sync its directory entry: without this a new or renamed file can be lost at a power loss. */
    private async syncFolder(): Promise<void> {
        const handle = await fs.open(this.folder, constants.O_RDONLY);
        try {
            await handle.sync();
        }
        finally {
            await handle.close();
        }
    }

    private path(name: string): string {
        return path.join(this.folder, name);
    }
}
