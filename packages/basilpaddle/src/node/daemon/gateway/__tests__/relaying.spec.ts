import { expect } from "chai";
import { once } from "node:events";
import * as net from "node:net";
import { ManualClock } from "../../../../../../../simulation/manualClock.js";
import { type DirectoryWatcher, InstanceTable } from "../../../coordination/index.js";
import { answerBoundsSchema, type GatewaySettings } from "../../../protocol/index.js";
import { createSilentLogger, SeededRandomness, SilentMetrics } from "../../../utils/index.js";
import { Relaying } from "../relaying.js";

describe("relaying", () => {
    // Guards against a gateway that serves nobody because another process has its relay port.
    it("doesn't keep a gateway from starting if its port is in use", async () => {
        const occupant = net.createServer().listen(0, "127.0.0.1");
        await once(occupant, "listening");
        const { port: relayPort } = occupant.address() as net.AddressInfo;
        const relaying = Relaying.create({
            settings: {
                name: "g",
                failureDomain: "a",
                host: "127.0.0.1",
                relayPort,
                answers: answerBoundsSchema.parse({}),
            } as GatewaySettings,
            instances: InstanceTable.create(),
            watcher: () => ({ reachedLinks: () => [] }) as unknown as DirectoryWatcher,
            clock: new ManualClock(),
            randomness: SeededRandomness.create(1),
            logger: createSilentLogger(),
            metrics: SilentMetrics.create(),
        });
        await relaying.open();
        expect(relaying.paths.reachesServers()).to.equal(true);
        await relaying.close();
        occupant.close();
    });
});
