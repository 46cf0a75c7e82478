import { expect } from "chai";
import * as net from "node:net";
import { until } from "../../../../../../../playground/harness/wait.js";
import { announced } from "../../../coordination/gateway/__tests__/fakes.js";
import { InstanceTable, type RelayPeers } from "../../../coordination/index.js";
import type { Relay } from "../../../protocol/index.js";
import { encodeFrame, readFrame } from "../../../transport/index.js";
import { createSilentLogger, SeededRandomness, SilentMetrics, SystemClock } from "../../../utils/index.js";
import { AnswerLimits, isAnswer, readWholeBody } from "../../backends/index.js";
import { ServerPaths } from "../serverPaths.js";

const answerHead = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n";

describe("the paths of a gateway that reaches no server itself", () => {
    let servers: net.Server[];
    let paths: ServerPaths;
    let relays: Relay[];
    /** Connections of the gateway at the relays; those that got a tunnel receive the requests. */
    let sockets: net.Socket[];
    /** Address of the only server; nothing listens there. */
    let unusedAddress: string;

    beforeEach(async () => {
        servers = [];
        sockets = [];
        relays = [];
        unusedAddress = await listen(() => undefined);
        servers.pop()!.close();
        const instances = InstanceTable.create();
        instances.apply(announced({ id: "server", address: unusedAddress }));
        paths = ServerPaths.create({
            localAddress: undefined,
            instances,
            relays: () =>
                ({
                    candidates: () => relays,
                    avoid: ({ address }: Relay) => {
                        relays = relays.filter(relay => relay.address !== address);
                    },
                    callStarted: () => () => undefined,
                }) as unknown as RelayPeers,
            onChanged: () => undefined,
            clock: SystemClock.create(),
            randomness: SeededRandomness.create(1),
            logger: createSilentLogger(),
            metrics: SilentMetrics.create(),
        });
        await call();
        expect(paths.reachesServers()).to.equal(false);
    });

    afterEach(async () => {
        await paths.close();
        sockets.forEach(socket => socket.destroy());
        servers.forEach(server => server.close());
    });

    async function listen(accept: (socket: net.Socket) => void): Promise<string> {
        const server = net.createServer(socket => {
            sockets.push(socket);
            socket.on("error", () => undefined);
            accept(socket);
        });
        servers.push(server);
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
        return `127.0.0.1:${(server.address() as net.AddressInfo).port}`;
    }

    async function addRelay(accept: (socket: net.Socket) => unknown): Promise<void> {
        relays.push({ gateway: `helper-${relays.length}`, failureDomain: "a", address: await listen(accept) });
    }

    function call() {
        const signal = AbortSignal.timeout(10_000);
        const server = announced({ id: "server", address: unusedAddress });
        return paths.call({ server, method: "GET", path: "/", headers: [], body: undefined, signal }, 50, 1);
    }

    // Guards against answers that are cut off because their relay opens no further tunnel, though it still forwards their bytes.
    it("let a call end whole over a relay that opens no further tunnel", async () => {
        let opened = 0;
        await addRelay(socket => {
            void readFrame(socket).then(() => {
                opened += 1;
                const reply = opened === 1 ? { kind: "open" } : { kind: "failed", reason: "unreachable" };
                socket.write(encodeFrame(reply));
            });
        });
        const first = call();
        await until("the tunnel is open", () => Promise.resolve(opened === 1));
        const [tunnel] = sockets.slice(-1);
        tunnel!.write(`${answerHead}ha`);
        const answer = await first;
        expect(isAnswer(answer)).to.equal(true);
        await call();
        expect(opened).to.be.above(1);
        tunnel!.write("lf");
        const bound = {
            server: announced({ id: "s" }),
            limits: AnswerLimits.createDefault(),
            bound: "bodyBytes",
        } as const;
        const body = isAnswer(answer) ? await readWholeBody(answer, bound) : undefined;
        expect(body?.toString()).to.equal("half");
    });

    // Guards against servers that are told of more time than is left, because the call waited for one relay after the other.
    it("try no further relay for a call that has waited for one", async () => {
        const triedRelays = new Set<number>();
        for (let number = 0; number < 3; number++) {
            await addRelay(() => triedRelays.add(number));
        }
        expect(await call()).to.include({ kind: "notSent", lostOnPath: true });
        expect(triedRelays.size).to.equal(1);
    });
});
