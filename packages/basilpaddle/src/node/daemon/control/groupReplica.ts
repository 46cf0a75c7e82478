import { AgreementReplica, FixedPeers, initialiseDataFolder, type Replica } from "../../coordination/index.js";
import type { ControlSettings } from "../../protocol/index.js";
import { type Disk, FolderDisk, FolderLock, type Identity, type StateMachine } from "../../state/index.js";
import type { Network } from "../../transport/index.js";
import type { Clock, DisposableStore, Logger, Randomness } from "../../utils/index.js";

/** Settings and dependencies of the replica of a control daemon. */
export type GroupReplicaOptions = {
    readonly settings: ControlSettings;
    readonly clock: Clock;
    readonly randomness: Randomness;
    readonly logger: Logger;
    readonly network: Network;
    readonly disk: Disk;
    readonly stateMachine: StateMachine;
    readonly onFailure: (error: unknown) => void;
    /** Takes ownership of the links to the other control daemons. */
    readonly store: DisposableStore;
};

/** Opens the replica of this control daemon in the group given by its settings. */
export function openGroupReplica(options: GroupReplicaOptions): Promise<Replica> {
    const { settings, network, store, ...rest } = options;
    const peers = new Map(
        settings.controls.filter(control => control.name !== settings.name).map(control => {
            const link = network.link({ host: control.host, port: control.port });
            store.add(() => link.close());
            return [control.name, link] as const;
        }),
    );
    return AgreementReplica.create({
        ...rest,
        name: settings.name,
        timing: settings.timing,
        peers: FixedPeers.create(peers),
    });
}

/**
 * Initialises the empty data folder of a control daemon of a new group. Each of the first control daemons is initialised
 * once, with the same cluster name; a daemon that lost its data must only be started, not initialised again.
 */
export async function initialiseControl(settings: ControlSettings, cluster: string): Promise<Identity> {
    const lock = await FolderLock.create(settings.dataFolder);
    try {
        const disk = await FolderDisk.create(settings.dataFolder);
        return await initialiseDataFolder(disk, cluster, settings.name, settings.controls.map(control => control.name));
    }
    finally {
        await lock.close();
    }
}
