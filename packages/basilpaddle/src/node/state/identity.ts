import { crc32 } from "node:zlib";
import { z } from "zod";
import { Damage } from "./damage.js";
import type { Disk } from "./disk.js";

/** Name of the file that holds the identity. */
export const identityFile = "identity.json";

/** Schema of a replica's identity. A replica that lost its disk gets a new identity. */
export const identitySchema = z.strictObject({
    version: z.literal(1),
    /** Name of the group; absent until the replica has joined a group. */
    cluster: z.string().min(1).optional(),
    name: z.string().min(1),
    /** The name, `#` and a unique suffix. */
    identity: z.string().min(1),
    /** Identities of the group's initial voters; empty for a replica that joins an existing group. */
    initialVoters: z.array(z.string().min(1)),
});

const storedSchema = z.strictObject({ checksum: z.int(), identity: identitySchema });

/** Identity of a replica. */
export type Identity = z.infer<typeof identitySchema>;

/** Reads the identity; undefined if there is none. Throws `Damage` if the file is corrupt. */
export async function readIdentity(disk: Disk): Promise<Identity | undefined> {
    const bytes = await disk.read(identityFile);
    if (bytes === undefined) {
        return undefined;
    }
    const stored = storedSchema.safeParse(parseJson(Buffer.from(bytes).toString("utf8")));
    if (!stored.success) {
        throw Damage.create(identityFile, 0, "it isn't a version 1 identity file");
    }
    const { checksum, identity } = stored.data;
    if (checksumOf(identity) !== checksum) {
        throw Damage.create(identityFile, 0, "it doesn't match its checksum");
    }
    return identity;
}

/** Writes the identity; resolves once it is durable. */
export async function writeIdentity(disk: Disk, identity: Identity): Promise<void> {
    const stored = { checksum: checksumOf(identity), identity };
    await disk.replace(identityFile, Buffer.from(`${JSON.stringify(stored, undefined, 4)}\n`));
}

function checksumOf(identity: Identity): number {
    const { version, cluster, name, identity: own, initialVoters } = identity;
    return crc32(JSON.stringify([version, cluster ?? "", name, own, initialVoters]));
}

function parseJson(text: string): unknown {
    try {
        return JSON.parse(text);
    }
    catch {
        return undefined;
    }
}
