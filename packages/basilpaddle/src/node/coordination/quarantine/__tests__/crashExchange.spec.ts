import { expect } from "chai";
import { ManualClock } from "../../../../../../../simulation/manualClock.js";
import { quarantineRulesSchema } from "../../../protocol/index.js";
import { createSilentLogger } from "../../../utils/index.js";
import { answerCrashQuery, CrashExchange } from "../crashExchange.js";
import { QuarantinedRequests } from "../quarantinedRequests.js";

function createCopy(publish: (digest: string) => void = () => undefined): QuarantinedRequests {
    return QuarantinedRequests.create({
        rules: quarantineRulesSchema.parse({}),
        publishRecords: records => records.forEach(({ digest }) => publish(digest)),
        clock: new ManualClock(),
        logger: createSilentLogger(),
    });
}

/** A daemon that queries others, with its own records. */
class QueryingDaemon {
    readonly records: QuarantinedRequests;
    private readonly exchange: CrashExchange;

    constructor() {
        this.records = createCopy(digest => this.exchange.markChanged(digest));
        this.exchange = CrashExchange.create(this.records);
    }

    crash(digest: string, ...servers: string[]): void {
        servers.forEach(server => this.records.addCrash(digest, { server, phase: "early", age: 0 }));
    }

    /** Queries a peer once; returns how many records the query and the reply carried. */
    query(name: string, peer: QuarantinedRequests): readonly [number, number] {
        const { question, count } = this.exchange.question(name);
        const reply = answerCrashQuery(peer, question);
        this.exchange.mergeReply(name, count, reply);
        return [question.records.length, reply.records.length];
    }
}

// Each daemon that receives requests detects only some of a request's crashes. The daemons that it queries combine them, and
// any of these may restart and lose its records.
describe("the exchange of crash records", () => {
    it("combines the crashes that several daemons saw, and sends them to all", () => {
        const control = createCopy();
        const [one, other, third] = [new QueryingDaemon(), new QueryingDaemon(), new QueryingDaemon()];
        one.crash("a", "s1");
        other.crash("a", "s2");
        expect(one.query("c", control)).to.deep.equal([1, 0]);
        expect(other.query("c", control)).to.deep.equal([1, 1]);
        [one, third].forEach(daemon => daemon.query("c", control));
        expect([one, other, third].every(({ records }) => records.quarantineStatus("a") !== undefined)).to.equal(true);
    });

    it("sends each record once to every peer", () => {
        const [control, second] = [createCopy(), createCopy()];
        const daemon = new QueryingDaemon();
        daemon.crash("a", "s1", "s2");
        expect(daemon.query("c1", control)).to.deep.equal([1, 1]);
        expect(daemon.query("c1", control)).to.deep.equal([0, 0]);
        expect(daemon.query("c2", second)).to.deep.equal([1, 1]);
        expect(second.quarantineStatus("a")).not.to.equal(undefined);
    });

    it("sends all records again to a peer that has restarted and lost them", () => {
        const daemon = new QueryingDaemon();
        daemon.crash("a", "s1", "s2");
        daemon.query("c", createCopy());
        const restarted = createCopy();
        daemon.query("c", restarted);
        daemon.query("c", restarted);
        expect(restarted.quarantineStatus("a")).not.to.equal(undefined);
    });

    it("propagates an operator's release", () => {
        const control = createCopy();
        const [one, other] = [new QueryingDaemon(), new QueryingDaemon()];
        one.crash("a", "s1", "s2");
        [one, other].forEach(daemon => daemon.query("c", control));
        expect(control.release("a", "somebody")).to.equal(true);
        [one, other].forEach(daemon => daemon.query("c", control));
        expect([one, other].map(({ records }) => records.quarantineStatus("a"))).to.deep.equal([undefined, undefined]);
    });
});
