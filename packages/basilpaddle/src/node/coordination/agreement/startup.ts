import {
    Damage,
    type Disk,
    type Identity,
    type LogFileOptions,
    readIdentity,
    writeIdentity,
} from "../../state/index.js";
import type { Logger, Randomness } from "../../utils/index.js";
import type { Recovered } from "./state.js";
import { initialiseStorage, Storage } from "./storage.js";

/** The identity and the stored state that a replica starts with. */
export type Startup = { readonly identity: Identity; readonly storage: Storage; readonly recovered: Recovered; };

/**
 * Prepares an empty data folder for an initial voter of the group. This is the only way to form a group. A replica that
 * finds its folder empty never forms one by itself: after the loss of several disks, that would create a new, empty group.
 */
export async function initialiseDataFolder(
    disk: Disk,
    cluster: string,
    name: string,
    names: readonly string[],
): Promise<Identity> {
    const existingFiles = await disk.list();
    if (existingFiles.length > 0) {
        throw new Error(
            `The data folder of ${name} isn't empty: it contains ${existingFiles.join(", ")}. `
                + "A voter whose state was lost must not be initialised again; start it, and it joins as a new member.",
        );
    }
    if (!names.includes(name)) {
        throw new Error(`${name} isn't one of the initial voters of the group: ${names.join(", ")}.`);
    }
    const initialVoters = names.map(voter => `${voter}#${cluster}`);
    const identity: Identity = { version: 1, cluster, name, identity: `${name}#${cluster}`, initialVoters };
    await initialiseStorage(disk, identity.identity, { voters: initialVoters, learners: [] });
    await writeIdentity(disk, identity);
    return identity;
}

/** Opens a data folder. If it is empty or damaged, the replica gets a new identity, which joins as a learner. */
export async function openFolder(
    disk: Disk,
    name: string,
    options: LogFileOptions,
    randomness: Randomness,
    logger: Logger,
): Promise<Startup> {
    try {
        const identity = await readIdentity(disk);
        if (identity !== undefined) {
            checkName(identity, name);
            const { storage, recovered, truncatedBytes } = await Storage.create(disk, identity.identity, options);
            if (truncatedBytes > 0) {
                logger.warn("removed an incomplete last record from the log; it was never acknowledged", {
                    bytes: truncatedBytes,
                });
            }
            return { identity, storage, recovered };
        }
    }
    catch (error) {
        if (!(error instanceof Damage)) {
            throw error;
        }
        logger.error("the data folder is damaged; joining the group under a new identity", { cause: error.message });
    }
    return startWithNewIdentity(disk, name, options, randomness, logger);
}

async function startWithNewIdentity(
    disk: Disk,
    name: string,
    options: LogFileOptions,
    randomness: Randomness,
    logger: Logger,
): Promise<Startup> {
    const suffix = randomness.identifier();
    for (const file of await disk.list()) {
        if (!file.startsWith("untrusted-")) {
            await disk.rename(file, `untrusted-${suffix}-${file}`);
        }
    }
    const identity: Identity = { version: 1, name, identity: `${name}#${suffix}`, initialVoters: [] };
    await initialiseStorage(disk, identity.identity, { voters: [], learners: [] });
    await writeIdentity(disk, identity);
    logger.info("no usable stored state; requesting to join the group", { identity: identity.identity });
    const { storage, recovered } = await Storage.create(disk, identity.identity, options);
    return { identity, storage, recovered };
}

function checkName(identity: Identity, name: string): void {
    if (identity.name !== name) {
        throw new Error(
            `The data folder belongs to ${identity.name}, but this daemon is ${name}. Set dataFolder to its own folder.`,
        );
    }
}
