import type { Randomness } from "../../packages/basilpaddle/src/node/utils/index.js";
import { ManualClock } from "../manualClock.js";
import { MemoryNetwork } from "./memoryNetwork.js";
import { EmulatedDirectory, EmulatedGateway, type World } from "./processes.js";

/** The directories and gateways of an emulated deployment, and what they share. */
export class Deployment {
    private constructor(
        readonly clock: ManualClock,
        readonly world: World,
        readonly directories: readonly EmulatedDirectory[],
        readonly gateways: readonly EmulatedGateway[],
    ) {}

    /** Creates the processes, which aren't started yet; `onAnnounced` is called after each announcement that a gateway has applied. */
    static create(
        counts: { readonly directories: number; readonly gateways: number; },
        randomness: Randomness,
        onAnnounced: () => void = () => undefined,
    ): Deployment {
        const clock = new ManualClock();
        const addresses = Array.from({ length: counts.directories }, (_, number) => `10.0.0.${number + 1}:7000`);
        const world = { clock, network: MemoryNetwork.create(clock, randomness), directories: addresses };
        const directories = addresses.map((address, number) => EmulatedDirectory.create(world, address, number));
        const gateways = Array.from({ length: counts.gateways }, (_, number) => {
            return EmulatedGateway.create(world, `10.0.1.${number + 1}:7000`, number, onAnnounced);
        });
        return new Deployment(clock, world, directories, gateways);
    }

    async start(): Promise<void> {
        await Promise.all([...this.directories, ...this.gateways].map(process => process.start()));
    }

    /** Cuts the first directories off from the others; gateways and backend servers reach all of them. */
    cutOffDirectories(count: number): void {
        const { directories, network } = this.world;
        network.separate((from, to) => {
            const [one, other] = [directories.indexOf(from), directories.indexOf(to)];
            return one >= 0 && other >= 0 && (one < count) !== (other < count);
        });
    }
}
