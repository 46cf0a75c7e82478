import * as fs from "node:fs/promises";
import * as net from "node:net";

/**
 * Exclusive lock of a data folder, held by one process at a time. A second process would truncate the record that the
 * first is writing, since it looks like an incomplete append, and both would vote under one identity: two leaders in
 * one term.
 *
 * The lock is an abstract socket named after the folder's device and inode. The kernel releases it however the process
 * ends, so there are no stale locks, and the name is the same whichever path or settings file leads to the folder. It
 * excludes only processes in the same network namespace. Only Linux has abstract sockets; on other platforms nothing is
 * locked.
 */
export class FolderLock {
    private constructor(private readonly server: net.Server | undefined) {}

    /** Creates the folder if it is missing and locks it; throws if another process holds the lock. */
    static async create(folder: string): Promise<FolderLock> {
        await fs.mkdir(folder, { recursive: true });
        if (process.platform !== "linux") {
            return new FolderLock(undefined);
        }
        const { dev, ino } = await fs.stat(folder, { bigint: true });
        const server = net.createServer(socket => socket.destroy());
        await new Promise<void>((resolve, reject) => {
            server.once("error", error => reject(lockError(error, folder)));
            server.listen(`\0basilpaddle-${dev}-${ino}`, resolve);
        });
        server.unref();
        return new FolderLock(server);
    }

    /** Releases the lock. */
    async close(): Promise<void> {
        await new Promise<void>(resolve => {
            if (this.server === undefined) {
                resolve();
                return;
            }
            this.server.close(() => resolve());
        });
    }
}

function lockError(error: NodeJS.ErrnoException, folder: string): Error {
    if (error.code !== "EADDRINUSE") {
        return error;
    }
    return new Error(
        `The data folder ${folder} is in use by another process. Stop that process or choose another folder.`,
        { cause: error },
    );
}
