import { expect } from "chai";
import { announced } from "../../../coordination/gateway/__tests__/fakes.js";
import { MemoryDisk } from "../../../state/index.js";
import { Clock, createSilentLogger } from "../../../utils/index.js";
import { type Memorable, Recollection } from "../recollection.js";

/** A clock whose timers run when the test says so. */
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

const memorable: Memorable = {
    identity: "10.0.0.1:80#mark",
    committed: { index: 7, term: 2 },
    servers: [announced({ id: "i@5", name: "i", startedAt: 5, stage: "decode" })],
    gateways: 9,
    crashes: [{ digest: "d", crashes: [{ server: "i@5", phase: "early", age: 70 }] }],
};

describe("what a directory remembers across a restart", () => {
    let disk: MemoryDisk;
    let clock: SteppedClock;
    const logger = createSilentLogger();
    const openDisk = async (): Promise<MemoryDisk> => disk;

    beforeEach(() => {
        disk = MemoryDisk.create();
        clock = new SteppedClock();
    });

    async function write(): Promise<void> {
        const recollection = await Recollection.create({ openDisk, clock, logger });
        recollection.keep(() => memorable);
        recollection.changed();
        recollection.changed();
        await clock.runTimers();
    }

    it("comes back, the committed entry for its identity only", async () => {
        await write();
        const after = await Recollection.create({ openDisk, clock, logger });
        expect(after.committed(memorable.identity)).to.deep.equal(memorable.committed);
        expect(after.committed("10.0.0.1:80#other")).to.equal(undefined);
        expect([after.servers(), after.gateways()]).to.deep.equal([memorable.servers, memorable.gateways]);
    });

    it("still tells after hours of requests under which servers ended, as old as they are by then", async () => {
        await write();
        clock.now += 7_200_000;
        const after = await Recollection.create({ openDisk, clock, logger });
        expect(after.crashes()).to.deep.equal([{
            digest: "d",
            crashes: [{ server: "i@5", phase: "early", age: 7_200_070 }],
        }]);
    });

    it("leaves out backend servers after a long time, and counts as nothing where it is damaged", async () => {
        await write();
        clock.now += 120_000;
        const old = await Recollection.create({ openDisk, clock, logger });
        expect([old.servers(), old.committed(memorable.identity)]).to.deep.equal([[], memorable.committed]);
        await disk.replace("recollection", Buffer.from("no such thing"));
        const damaged = await Recollection.create({ openDisk, clock, logger });
        expect([damaged.servers(), damaged.committed(memorable.identity)]).to.deep.equal([[], undefined]);
    });

    // Symptom: a member that founds its group asks others for a place instead.
    // Sequence: its first replica can't be opened; something is written beside it; the folder isn't empty any more.
    it("isn't written while there is nothing to be sure of", async () => {
        const recollection = await Recollection.create({ openDisk, clock, logger });
        recollection.keep(() => undefined);
        recollection.changed();
        await clock.runTimers();
        expect(await disk.list()).to.deep.equal([]);
    });

    // Symptom: a directory whose disk fails when it starts ends, in place of hearing backend servers without it.
    it("counts as nothing where the folder can't be opened, and is written once it can", async () => {
        let fails = true;
        const opening = async (): Promise<MemoryDisk> => {
            if (fails) {
                throw new Error("no space is left");
            }
            return disk;
        };
        const recollection = await Recollection.create({ openDisk: opening, clock, logger });
        expect(recollection.servers()).to.deep.equal([]);
        recollection.keep(() => memorable);
        recollection.changed();
        await clock.runTimers();
        fails = false;
        recollection.changed();
        await clock.runTimers();
        expect(await disk.list()).to.deep.equal(["recollection"]);
    });

    it("is written once for many changes, and again after a writing that failed", async () => {
        let tries = 0;
        const replace = disk.replace.bind(disk);
        disk.replace = (name, bytes) => {
            tries += 1;
            return tries === 1 ? Promise.reject(new Error("the disk is full")) : replace(name, bytes);
        };
        await write();
        expect(tries).to.equal(1);
        await write();
        expect([tries, await disk.list()]).to.deep.equal([2, ["recollection"]]);
    });
});
