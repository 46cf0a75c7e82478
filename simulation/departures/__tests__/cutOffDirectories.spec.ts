import { expect } from "chai";
import { SeededRandomness } from "../../../packages/basilpaddle/src/node/utils/index.js";
import { Deployment } from "../deployment.js";
import { EmulatedServer } from "../emulatedServer.js";

const sampleMilliseconds = 300;

async function startDeployment(directories: number): Promise<Deployment> {
    const deployment = Deployment.create({ directories, gateways: 1 }, SeededRandomness.create(1));
    await deployment.start();
    await deployment.clock.advance(2_000);
    return deployment;
}

/** States in which one directory knows a server over some time. */
async function statesAt(
    { clock, directories }: Deployment,
    directory: number,
    { id }: EmulatedServer,
    milliseconds: number,
): Promise<readonly (string | undefined)[]> {
    const states = new Set<string | undefined>();
    for (let past = 0; past < milliseconds; past += sampleMilliseconds) {
        await clock.advance(sampleMilliseconds);
        states.add(directories[directory]!.membership?.instances.get(id)?.state);
    }
    return [...states];
}

describe("heartbeats to a directory that is cut off from the others", () => {
    // Guards against engines that live and get no work: their heartbeats were acknowledged where nobody else learnt of them.
    it("leave no server silent at the majority", async () => {
        const deployment = await startDeployment(3);
        const server = EmulatedServer.create(deployment.world, 1, 0);
        await deployment.clock.advance(3_000);
        deployment.cutOffDirectories(1);
        server.moveHeartbeats(0);
        expect(await statesAt(deployment, 2, server, 12_000)).to.deep.equal(["ready"]);
    });

    // Guards against servers that call all directories in turn while none of them is in the majority.
    it("are acknowledged in both of two halves", async () => {
        const deployment = await startDeployment(4);
        deployment.cutOffDirectories(2);
        await deployment.clock.advance(5_000);
        const server = EmulatedServer.create(deployment.world, 0, Number.MAX_SAFE_INTEGER);
        const acknowledged = [0, 3].map(directory => server.call(directory, server.heartbeat()));
        await deployment.clock.advance(1_000);
        expect(await Promise.all(acknowledged)).to.deep.equal([true, true]);
    });

    // Guards against servers that nobody knows after all directories but one have ended.
    it("are still known there", async () => {
        const deployment = await startDeployment(3);
        deployment.cutOffDirectories(1);
        await deployment.clock.advance(3_000);
        const server = EmulatedServer.create(deployment.world, 0, 0);
        server.moveHeartbeats(0);
        await deployment.clock.advance(500);
        expect(await statesAt(deployment, 0, server, 1_500)).to.deep.equal(["ready"]);
    });
});
