import { expect } from "chai";
import { SystemClock } from "../../../utils/index.js";
import { ConnectionMemory, MemoryHolder } from "../connectionMemory.js";

class Holder extends MemoryHolder {
    readonly events: string[] = [];

    constructor(private readonly isServed = false) {
        super();
    }

    override mayGiveWay(): boolean {
        return !this.isServed;
    }

    override giveWay(): void {
        this.events.push("gave way");
    }

    override onRoom(): void {
        this.events.push("room");
    }
}

const limit = 1_000_000;

async function untilEvent(holder: Holder): Promise<readonly string[]> {
    while (holder.events.length === 0) {
        await new Promise(resolve => setTimeout(resolve, 5));
    }
    return holder.events;
}

describe("the memory of connections", () => {
    let memory: ConnectionMemory;

    beforeEach(() => {
        memory = ConnectionMemory.create(limit, SystemClock.create());
    });

    // Guards against connections that do nothing and keep others out.
    it("lets the largest holder give way that isn't being served", async () => {
        const [small, large, served, asking] = [new Holder(), new Holder(), new Holder(true), new Holder()];
        memory.update(small, 100_000);
        memory.update(large, 300_000);
        memory.update(served, 600_000);
        expect(memory.hasRoom(asking, 50_000)).to.equal(false);
        expect(await untilEvent(asking)).to.deep.equal(["room"]);
        expect([small.events, large.events, served.events]).to.deep.equal([[], ["gave way"], []]);
        expect(memory.hasRoom(asking, 50_000)).to.equal(true);
    });

    // Guards against a usual request that waits behind a crowd of large ones.
    it("admits those first that want least, and keeps a part for them", () => {
        const [served, large, small] = [new Holder(true), new Holder(), new Holder()];
        memory.update(served, limit);
        memory.hasRoom(large, 500_000);
        memory.hasRoom(small, 50_000);
        memory.update(served, 700_000);
        expect([large.events, small.events]).to.deep.equal([[], ["room"]]);
        expect(memory.hasRoom(new Holder(), 290_000)).to.equal(false);
    });

    // Guards against a connection that waits for ever where all others are being served.
    it("gives up who has waited for too long", async () => {
        const [served, asking] = [new Holder(true), new Holder()];
        memory.update(served, limit);
        memory.hasRoom(asking, 50_000);
        expect(await untilEvent(asking)).to.deep.equal(["gave way"]);
        memory.release(asking);
        memory.release(served);
    });
});
