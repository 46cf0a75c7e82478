import { expect } from "chai";
import { announced } from "../../../coordination/gateway/__tests__/fakes.js";
import { MemoryDisk } from "../../../state/index.js";
import { Clock, createSilentLogger } from "../../../utils/index.js";
import { RestartCache, type RestartState } from "../restartCache.js";

/** A clock whose timers run only when the test calls `runTimers`. */
class SteppedClock extends Clock {
    now = 1_000;
    private due: (() => void)[] = [];

    override monotonic(): number {
        return this.now;
    }

    override wall(): number {
        return this.now;
    }

    override after(_milliseconds: number, callback: () => void): () => void {
        this.due.push(callback);
        return () => undefined;
    }

    async runTimers(): Promise<void> {
        const due = this.due;
        this.due = [];
        due.forEach(callback => callback());
        await new Promise(resolve => setTimeout(resolve, 5));
    }
}

const state: RestartState = {
    identity: "10.0.0.1:80#mark",
    committed: { index: 7, term: 2 },
    servers: [announced({ id: "i@5", name: "i", startedAt: 5, stage: "decode" })],
    gateways: 9,
    crashes: [{ digest: "d", crashes: [{ server: "i@5", phase: "early", age: 70 }] }],
    versions: { coversLast: 90, seen: [{ service: "pool", version: "v1", age: 3 }] },
};

describe("the restart cache of a directory", () => {
    let disk: MemoryDisk;
    let clock: SteppedClock;
    const logger = createSilentLogger();
    const openDisk = async (): Promise<MemoryDisk> => disk;

    beforeEach(() => {
        disk = MemoryDisk.create();
        clock = new SteppedClock();
    });

    async function write(): Promise<void> {
        const cache = await RestartCache.create({ openDisk, clock, logger });
        cache.setSource(() => state);
        cache.markChanged();
        cache.markChanged();
        await clock.runTimers();
    }

    it("restores its state, and the committed entry only for its identity", async () => {
        await write();
        const restoredCache = await RestartCache.create({ openDisk, clock, logger });
        expect(restoredCache.committed(state.identity)).to.deep.equal(state.committed);
        expect(restoredCache.committed("10.0.0.1:80#other")).to.equal(undefined);
        expect([restoredCache.servers(), restoredCache.gateways()]).to.deep.equal([state.servers, state.gateways]);
    });

    it("restores crash records after hours, with their ages increased by that time", async () => {
        await write();
        clock.now += 7_200_000;
        const restoredCache = await RestartCache.create({ openDisk, clock, logger });
        expect(restoredCache.crashes()).to.deep.equal([{
            digest: "d",
            crashes: [{ server: "i@5", phase: "early", age: 7_200_070 }],
        }]);
    });

    it("discards backend servers after a long time, and everything if the file is damaged", async () => {
        await write();
        clock.now += 120_000;
        const expired = await RestartCache.create({ openDisk, clock, logger });
        expect([expired.servers(), expired.committed(state.identity)]).to.deep.equal([[], state.committed]);
        await disk.replace("recollection", Buffer.from("no such thing"));
        const damaged = await RestartCache.create({ openDisk, clock, logger });
        expect([damaged.servers(), damaged.committed(state.identity)]).to.deep.equal([[], undefined]);
    });

    // Guards against a founding member that tries to join a group instead of initialising it: its replica couldn't be opened
    // at first, and a cache file written meanwhile made the data folder look used.
    it("isn't written while there is no reliable state", async () => {
        const cache = await RestartCache.create({ openDisk, clock, logger });
        cache.setSource(() => undefined);
        cache.markChanged();
        await clock.runTimers();
        expect(await disk.list()).to.deep.equal([]);
    });

    // Guards against a directory that exits if its disk fails at startup, although it can receive heartbeats without a disk.
    it("is empty if the folder can't be opened, and is written once it can", async () => {
        let fails = true;
        const openFailingDisk = async (): Promise<MemoryDisk> => {
            if (fails) {
                throw new Error("no space is left");
            }
            return disk;
        };
        const cache = await RestartCache.create({ openDisk: openFailingDisk, clock, logger });
        expect(cache.servers()).to.deep.equal([]);
        cache.setSource(() => state);
        cache.markChanged();
        await clock.runTimers();
        fails = false;
        cache.markChanged();
        await clock.runTimers();
        expect(await disk.list()).to.deep.equal(["recollection"]);
    });

    it("is written once for many changes, and again after a failed write", async () => {
        let writeCount = 0;
        const replace = disk.replace.bind(disk);
        disk.replace = (name, bytes) => {
            writeCount += 1;
            return writeCount === 1 ? Promise.reject(new Error("the disk is full")) : replace(name, bytes);
        };
        await write();
        expect(writeCount).to.equal(1);
        await write();
        expect([writeCount, await disk.list()]).to.deep.equal([2, ["recollection"]]);
    });
});
