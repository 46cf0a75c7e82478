import { expect } from "chai";
import { ManualClock } from "../../../../../../../simulation/manualClock.js";
import { createSilentLogger, SeededRandomness, SilentMetrics } from "../../../utils/index.js";
import { PathMonitor, type PathState } from "../pathMonitor.js";
import { announced } from "./fakes.js";

const connectMilliseconds = 3;
const timeoutMilliseconds = 250;

/** A path to eight servers, some of which accept no connections; `isCut`: none does. */
class FakePath {
    readonly clock = new ManualClock();
    readonly failedServers = new Set<string>();
    readonly changes: PathState[] = [];
    isCut = false;
    bytes = 0;
    probes = 0;
    readonly monitor = PathMonitor.create({
        name: "direct",
        servers: () => ["a", "b", "c", "d", "e", "f", "g", "h"].map(id => announced({ id })),
        probe: ({ id }) => {
            this.probes += 1;
            const fails = this.isCut || this.failedServers.has(id);
            return new Promise(resolve => {
                this.clock.after(fails ? timeoutMilliseconds : connectMilliseconds, () => {
                    resolve(fails ? "late" : "established");
                });
            });
        },
        receivedBytes: () => this.bytes,
        onChanged: state => this.changes.push(state),
        clock: this.clock,
        randomness: SeededRandomness.create(1),
        logger: createSilentLogger(),
        metrics: SilentMetrics.create(),
    });

    /** Reports a failed connection and advances the time until the monitor has decided. */
    async confirm(server: string): Promise<boolean> {
        let confirmed: boolean | undefined;
        void this.monitor.confirm(server).then(result => {
            confirmed = result;
        });
        while (confirmed === undefined) {
            await this.clock.advance(1);
        }
        return confirmed;
    }
}

describe("the monitor of a path to backend servers", () => {
    it("blames a server that accepts no connection while others do", async () => {
        const path = new FakePath();
        path.failedServers.add("a");
        expect(await path.confirm("a")).to.equal(true);
        expect(path.monitor.state()).to.equal("sound");
    });

    // Guards against sound servers that are taken for failed by everybody, because one gateway's links failed.
    it("blames the path if no server accepts a connection, and doubts it before a connection times out", async () => {
        const path = new FakePath();
        path.isCut = true;
        expect(await path.confirm("a")).to.equal(false);
        expect(path.monitor.state()).to.equal("doubtful");
        await path.clock.advance(timeoutMilliseconds);
        expect(path.changes).to.deep.equal(["failed"]);
    });

    // Guards against a path that is given up because a busy host establishes connections late, though bytes still arrive.
    it("stays sound while bytes arrive and connections are only late", async () => {
        const path = new FakePath();
        path.isCut = true;
        path.monitor.callStarted("a");
        void path.confirm("a");
        for (let chunk = 0; chunk < 10; chunk++) {
            path.bytes += 1;
            await path.clock.advance(100);
        }
        expect(path.changes).to.deep.equal([]);
        expect(path.monitor.state()).to.equal("sound");
    });

    // Guards against a partition that is noticed only when connections time out, one request after the other.
    it("fails within half a second when all servers fall silent at once", async () => {
        const path = new FakePath();
        path.isCut = true;
        path.monitor.callStarted("a");
        path.monitor.callStarted("b");
        await path.clock.advance(400);
        expect(path.monitor.state()).to.equal("doubtful");
        await path.clock.advance(200);
        expect(path.monitor.state()).to.equal("failed");
    });

    // Guards against gateways that give up sound links: a sound server may be silent for a second.
    it("stays sound while a single server is silent, and while silent servers accept connections", async () => {
        const path = new FakePath();
        path.monitor.callStarted("a");
        await path.clock.advance(3_000);
        expect(path.probes).to.equal(0);
        path.monitor.callStarted("b");
        await path.clock.advance(3_000);
        expect(path.probes).to.be.within(1, 3 * 4);
        expect(path.changes).to.deep.equal([]);
    });

    it("is sound again within a second after the end, however long the path had failed", async () => {
        const path = new FakePath();
        path.isCut = true;
        await path.confirm("a");
        await path.clock.advance(60_000);
        path.isCut = false;
        await path.clock.advance(1_000);
        expect(path.changes).to.deep.equal(["failed", "sound"]);
    });

    it("stays failed while links come back for a moment only", async () => {
        const path = new FakePath();
        path.isCut = true;
        await path.confirm("a");
        await path.clock.advance(1_000);
        for (let round = 0; round < 10; round++) {
            path.isCut = round % 2 === 0;
            await path.clock.advance(200);
        }
        expect(path.changes).to.deep.equal(["failed"]);
    });
});
