/** An append-only file. Appended bytes are durable only once `sync` has resolved. */
export abstract class AppendOnlyFile {
    /** Appends the bytes. */
    abstract append(bytes: Uint8Array): Promise<void>;

    /** Resolves once everything appended before the call would survive a power loss. */
    abstract sync(): Promise<void>;

    /** Closes the file without syncing it. */
    abstract close(): Promise<void>;
}

/** The folder that holds durable state. Names are plain file names without a path. */
export abstract class Disk {
    /** Names of the files in the folder. */
    abstract list(): Promise<readonly string[]>;

    /** The whole content of a file, or undefined if it doesn't exist. */
    abstract read(name: string): Promise<Uint8Array | undefined>;

    /** Truncates a file to the given length in bytes, syncs it and opens it for appending. Creates a missing file. */
    abstract open(name: string, length: number): Promise<AppendOnlyFile>;

    /**
     * Replaces a file atomically: after a power loss either the old or the new content is there. Resolves once the new
     * content is durable.
     */
    abstract replace(name: string, bytes: Uint8Array): Promise<void>;

    /** Renames a file; resolves once the new name is durable. */
    abstract rename(from: string, to: string): Promise<void>;

    /** Removes a file if it exists; resolves once the removal is durable. */
    abstract remove(name: string): Promise<void>;
}
