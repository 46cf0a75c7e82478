import { AgreementReplica, FixedPeers, initialise, type Replica } from "../../coordination/index.js";
import type { ControlSettings } from "../../protocol/index.js";
import { type Disk, FolderDisk, FolderLock, type Identity, type StateMachine } from "../../state/index.js";
import type { Network } from "../../transport/index.js";
import type { Clock, DisposableStore, Logger, Randomness } from "../../utils/index.js";

/** What the replica of a control daemon needs. */
export type GroupReplicaOptions = {
    readonly settings: ControlSettings;
    readonly clock: Clock;
    readonly randomness: Randomness;
    readonly logger: Logger;
    readonly network: Network;
    readonly disk: Disk;
    readonly stateMachine: StateMachine;
    readonly onFailure: (error: unknown) => void;
    /** Takes over the links to the other control daemons. */
    readonly store: DisposableStore;
};

/** Opens the replica of this control daemon in the group that its settings name. */
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
 * Prepares the empty data folder of one control daemon that a new group starts with. Every one of the first control
 * daemons is prepared with the same cluster name, once; a daemon that lost its data is not prepared but only started.
 */
export async function initialiseControl(settings: ControlSettings, cluster: string): Promise<Identity> {
    const lock = await FolderLock.create(settings.dataFolder);
    try {
        const disk = await FolderDisk.create(settings.dataFolder);
        return await initialise(disk, cluster, settings.name, settings.controls.map(control => control.name));
    }
    finally {
        await lock.close();
    }
}
