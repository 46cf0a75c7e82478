import { expect } from "chai";
import { ManualClock } from "../../../../../../../simulation/manualClock.js";
import { quarantineRulesSchema } from "../../../protocol/index.js";
import { createSilentLogger } from "../../../utils/index.js";
import { answerCrashQuery, CrashExchange } from "../crashExchange.js";
import { QuarantinedRequests } from "../quarantinedRequests.js";

function copy(publish: (digest: string) => void = () => undefined): QuarantinedRequests {
    return QuarantinedRequests.create({
        rules: quarantineRulesSchema.parse({}),
        publishRecords: records => records.forEach(({ digest }) => publish(digest)),
        clock: new ManualClock(),
        logger: createSilentLogger(),
    });
}

/** A daemon that queries others, with its own records. */
class QueryingDaemon {
    readonly held: QuarantinedRequests;
    private readonly exchange: CrashExchange;

    constructor() {
        this.held = copy(digest => this.exchange.markChanged(digest));
        this.exchange = CrashExchange.create(this.held);
    }

    crash(digest: string, ...servers: string[]): void {
        servers.forEach(server => this.held.note(digest, { server, phase: "early", age: 0 }));
    }

    /** Queries a peer once; returns how many records the query and the reply carried. */
    ask(name: string, peer: QuarantinedRequests): readonly [number, number] {
        const { question, count } = this.exchange.question(name);
        const news = answerCrashQuery(peer, question);
        this.exchange.mergeReply(name, count, news);
        return [question.records.length, news.records.length];
    }
}

// Each daemon that receives requests sees only one crash of the three; the daemons that it queries combine them, and any of
// these may be lost.
describe("the exchange of crash records", () => {
    it("combines the crashes that several daemons saw, and sends them to all", () => {
        const control = copy();
        const [one, other, third] = [new QueryingDaemon(), new QueryingDaemon(), new QueryingDaemon()];
        one.crash("a", "s1");
        other.crash("a", "s2");
        expect(one.ask("c", control)).to.deep.equal([1, 0]);
        expect(other.ask("c", control)).to.deep.equal([1, 1]);
        [one, third].forEach(asker => asker.ask("c", control));
        expect([one, other, third].every(({ held }) => held.quarantineStatus("a") !== undefined)).to.equal(true);
    });

    it("sends each record once to every peer", () => {
        const [control, second] = [copy(), copy()];
        const asker = new QueryingDaemon();
        asker.crash("a", "s1", "s2");
        expect(asker.ask("c1", control)).to.deep.equal([1, 1]);
        expect(asker.ask("c1", control)).to.deep.equal([0, 0]);
        expect(asker.ask("c2", second)).to.deep.equal([1, 1]);
        expect(second.quarantineStatus("a")).not.to.equal(undefined);
    });

    it("sends all records again to a peer that has restarted and lost them", () => {
        const asker = new QueryingDaemon();
        asker.crash("a", "s1", "s2");
        asker.ask("c", copy());
        const restarted = copy();
        asker.ask("c", restarted);
        asker.ask("c", restarted);
        expect(restarted.quarantineStatus("a")).not.to.equal(undefined);
    });

    it("propagates an operator's release", () => {
        const control = copy();
        const [one, other] = [new QueryingDaemon(), new QueryingDaemon()];
        one.crash("a", "s1", "s2");
        [one, other].forEach(asker => asker.ask("c", control));
        expect(control.release("a", "somebody")).to.equal(true);
        [one, other].forEach(asker => asker.ask("c", control));
        expect([one, other].map(({ held }) => held.quarantineStatus("a"))).to.deep.equal([undefined, undefined]);
    });
});
