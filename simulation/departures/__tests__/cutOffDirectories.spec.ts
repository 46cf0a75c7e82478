import { expect } from "chai";
import { SeededRandomness } from "../../../packages/basilpaddle/src/node/utils/index.js";
import { ManualClock } from "../../manualClock.js";
import { EmulatedServer } from "../emulatedServer.js";
import { MemoryNetwork } from "../memoryNetwork.js";
import { EmulatedDirectory, EmulatedGateway, heartbeatMilliseconds, type World } from "../processes.js";

const addresses = ["10.0.0.1:7000", "10.0.0.2:7000", "10.0.0.3:7000"] as const;
const [, , cutOff] = addresses;

type Deployment = { readonly world: World; readonly directories: readonly EmulatedDirectory[]; };

async function startDeployment(directoryAddresses: readonly string[] = addresses): Promise<Deployment> {
    const clock = new ManualClock();
    const network = MemoryNetwork.create(clock, SeededRandomness.create(1));
    const world = { clock, network, directories: directoryAddresses };
    const directories = directoryAddresses.map((address, number) => EmulatedDirectory.create(world, address, number));
    const gateway = EmulatedGateway.create(world, "10.0.1.1:7000", 0, () => undefined);
    await Promise.all([...directories, gateway].map(process => process.start()));
    await clock.advance(2_000);
    return { world, directories };
}

/** Sends a heartbeat to one directory after the other until one acknowledges it; returns that directory's number. */
async function sendHeartbeat(server: EmulatedServer, first: number): Promise<number> {
    for (let directory = first; directory < first + addresses.length; directory++) {
        if (await server.call(directory, server.heartbeat())) {
            return directory;
        }
    }
    return first;
}

/** Sends heartbeats to one directory until it doesn't acknowledge one, then to the next; returns the states known at the first two. */
async function statesOverHeartbeats(
    { world, directories }: Deployment,
    server: EmulatedServer,
    first: number,
    count: number,
): Promise<Set<string | undefined>> {
    const states = new Set<string | undefined>();
    let directory = first;
    for (let heartbeat = 0; heartbeat < count; heartbeat++) {
        void sendHeartbeat(server, directory).then(acknowledgedBy => directory = acknowledgedBy);
        await world.clock.advance(heartbeatMilliseconds);
        const known = directories.slice(0, 2).map(({ membership }) => membership?.instances.get(server.id)?.state);
        known.forEach(state => states.add(state));
    }
    return states;
}

describe("heartbeats to a directory that is cut off from the others", () => {
    // Guards against engines that live and get no work: their heartbeats were acknowledged where nobody else learnt of them.
    it("leave no server silent at the majority", async () => {
        const deployment = await startDeployment();
        const { network } = deployment.world;
        const server = EmulatedServer.create(deployment.world, 0, Number.MAX_SAFE_INTEGER);
        expect([...await statesOverHeartbeats(deployment, server, 0, 4)]).to.deep.equal(["ready"]);
        network.separate((from, to) => addresses.some(one => one === from) && [from, to].includes(cutOff));
        expect([...await statesOverHeartbeats(deployment, server, 2, 10)]).to.deep.equal(["ready"]);
    });

    // Guards against servers that call all directories in turn while none of them is in the majority.
    it("are acknowledged in both of two halves", async () => {
        const deployment = await startDeployment([...addresses, "10.0.0.4:7000"]);
        const { clock, network, directories } = deployment.world;
        const isInFirstHalf = (address: string): boolean => directories.indexOf(address) < 2;
        network.separate((from, to) => {
            return [from, to].every(one => directories.includes(one)) && isInFirstHalf(from) !== isInFirstHalf(to);
        });
        await clock.advance(5_000);
        const server = EmulatedServer.create(deployment.world, 0, Number.MAX_SAFE_INTEGER);
        const acknowledged = [0, 3].map(directory => server.call(directory, server.heartbeat()));
        await clock.advance(heartbeatMilliseconds);
        expect(await Promise.all(acknowledged)).to.deep.equal([true, true]);
    });

    // Guards against servers that nobody knows after all directories but one have ended.
    it("are still known there", async () => {
        const deployment = await startDeployment();
        const { network } = deployment.world;
        network.separate((from, to) => addresses.some(one => one === from) && [from, to].includes(cutOff));
        await deployment.world.clock.advance(3_000);
        const server = EmulatedServer.create(deployment.world, 0, Number.MAX_SAFE_INTEGER);
        await statesOverHeartbeats(deployment, server, 2, 1);
        expect(deployment.directories[2]!.membership?.instances.get(server.id)?.state).to.equal("ready");
    });
});
