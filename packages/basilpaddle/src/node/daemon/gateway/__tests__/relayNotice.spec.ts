import { expect } from "chai";
import * as http from "node:http";
import type * as net from "node:net";
import { until } from "../../../../../../../playground/harness/wait.js";
import { announced } from "../../../coordination/gateway/__tests__/fakes.js";
import { InstanceTable, type RelayPeers } from "../../../coordination/index.js";
import { createSilentLogger, SeededRandomness, SilentMetrics, SystemClock } from "../../../utils/index.js";
import { AnswerLimits, type BackendAnswer, DirectOpener, isAnswer, readWholeBody } from "../../backends/index.js";
import { RelayServer } from "../relayServer.js";
import { ServerPaths } from "../serverPaths.js";

/** Shorter than the grace period of a relay, at the end of which it cuts what is in progress. */
const withinGraceMilliseconds = 5_000;

describe("a gateway whose relay shuts down", () => {
    const logger = createSilentLogger();
    const metrics = SilentMetrics.create();
    let server: http.Server;
    let relay: RelayServer;
    let paths: ServerPaths;
    let release: (() => void) | undefined;

    beforeEach(async () => {
        release = undefined;
        server = http.createServer((request, response) => {
            if (request.url === "/slow") {
                release = () => response.end("whole");
            }
            else {
                response.end("short");
            }
        });
        // Connections stay open for the whole test.
        server.keepAliveTimeout = 0;
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
        const reached = InstanceTable.create();
        reached.apply(announced({ id: "server", address: `127.0.0.1:${(server.address() as net.AddressInfo).port}` }));
        relay = await RelayServer.create({
            address: { host: "127.0.0.1", port: 0 },
            instances: reached,
            opener: DirectOpener.create(),
            reachesServers: () => true,
            confirmReach: () => Promise.resolve(true),
            logger,
            metrics,
        });
        // The gateway's own link fails: nothing listens at this address.
        const instances = InstanceTable.create();
        instances.apply(announced({ id: "server", address: "127.0.0.1:1" }));
        const address = `127.0.0.1:${relay.port()}`;
        paths = ServerPaths.create({
            localAddress: undefined,
            instances,
            relays: () =>
                ({
                    candidates: () => [{ gateway: "helper", failureDomain: "a", address }],
                    avoid: () => undefined,
                    callStarted: () => () => undefined,
                }) as unknown as RelayPeers,
            onChanged: () => undefined,
            clock: SystemClock.create(),
            randomness: SeededRandomness.create(1),
            logger,
            metrics,
        });
        await call("/");
        expect(paths.reachesServers()).to.equal(false);
    });

    afterEach(async () => {
        await paths.close();
        relay.close();
        server.closeAllConnections();
        server.close();
    });

    function call(path: string) {
        const signal = AbortSignal.timeout(10_000);
        const called = announced({ id: "server", address: "127.0.0.1:1" });
        return paths.call({ server: called, method: "GET", path, headers: [], body: undefined, signal }, 50, 1);
    }

    function bodyOf(answer: BackendAnswer): Promise<string> {
        const bound = { server: announced({ id: "s" }), limits: AnswerLimits.createDefault(), bound: "bodyBytes" };
        return readWholeBody(answer, bound as Parameters<typeof readWholeBody>[1]).then(String);
    }

    async function isServed(): Promise<boolean> {
        const answer = await call("/");
        return isAnswer(answer) && await bodyOf(answer) === "short";
    }

    /** Whether each of some calls is served, one after the other. */
    async function servedCalls(): Promise<boolean[]> {
        const served: boolean[] = [];
        for (let index = 0; index < 20; index++) {
            served.push(await isServed());
        }
        return served;
    }

    // Guards against calls that are cut at the end of a relay's shutdown, because they went over tunnels that were open before.
    it("sends no new call over open tunnels, and gets the answers of calls in progress", async () => {
        expect([await isServed(), await isServed()]).to.deep.equal([true, true]);
        const slow = call("/slow");
        await until("the slow call runs", () => Promise.resolve(release !== undefined));
        expect(await isServed()).to.equal(true);
        relay.closeForNewTunnels();
        await until("no new call is sent", async () => !(await servedCalls()).includes(true), withinGraceMilliseconds);
        release!();
        const answer = await slow;
        expect(isAnswer(answer) && await bodyOf(answer)).to.equal("whole");
        const hasTunnels = (): boolean => relay.closeIdleTunnels(0) > 0;
        await until("no tunnel is left", () => Promise.resolve(!hasTunnels()), withinGraceMilliseconds);
    });
});
