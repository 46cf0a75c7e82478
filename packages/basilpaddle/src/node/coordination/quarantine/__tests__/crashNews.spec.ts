import { expect } from "chai";
import { ManualClock } from "../../../../../../../simulation/manualClock.js";
import { holdRulesSchema } from "../../../protocol/index.js";
import { createSilentLogger } from "../../../utils/index.js";
import { answerCrashes, CrashExchange } from "../crashNews.js";
import { HeldRequests } from "../heldRequests.js";

function copy(tell: (digest: string) => void = () => undefined): HeldRequests {
    return HeldRequests.create({
        rules: holdRulesSchema.parse({}),
        tell: records => records.forEach(({ digest }) => tell(digest)),
        clock: new ManualClock(),
        logger: createSilentLogger(),
    });
}

/** A daemon that asks, and what it knows. */
class Asker {
    readonly held: HeldRequests;
    private readonly exchange: CrashExchange;

    constructor() {
        this.held = copy(digest => this.exchange.note(digest));
        this.exchange = CrashExchange.create(this.held);
    }

    crash(digest: string, ...servers: string[]): void {
        servers.forEach(server => this.held.note(digest, { server, phase: "early", age: 0 }));
    }

    /** Asks once; gives how many records went each way. */
    ask(name: string, answerer: HeldRequests): readonly [number, number] {
        const { question, count } = this.exchange.question(name);
        const news = answerCrashes(answerer, question);
        this.exchange.answered(name, count, news);
        return [question.records.length, news.records.length];
    }
}

// Each daemon that takes requests sees one crash of the three; the ones that it asks add them up, and any may be lost.
describe("the exchange of what daemons know of crashes", () => {
    it("adds up what several daemons saw, and tells it to all", () => {
        const control = copy();
        const [one, other, third] = [new Asker(), new Asker(), new Asker()];
        one.crash("a", "s1");
        other.crash("a", "s2");
        expect(one.ask("c", control)).to.deep.equal([1, 0]);
        expect(other.ask("c", control)).to.deep.equal([1, 1]);
        [one, third].forEach(asker => asker.ask("c", control));
        expect([one, other, third].every(({ held }) => held.hold("a") !== undefined)).to.equal(true);
    });

    it("tells each of those that are asked, and each thing once", () => {
        const [control, second] = [copy(), copy()];
        const asker = new Asker();
        asker.crash("a", "s1", "s2");
        expect(asker.ask("c1", control)).to.deep.equal([1, 1]);
        expect(asker.ask("c1", control)).to.deep.equal([0, 0]);
        expect(asker.ask("c2", second)).to.deep.equal([1, 1]);
        expect(second.hold("a")).not.to.equal(undefined);
    });

    it("tells all again to one that started anew, which had forgotten", () => {
        const asker = new Asker();
        asker.crash("a", "s1", "s2");
        asker.ask("c", copy());
        const restarted = copy();
        asker.ask("c", restarted);
        asker.ask("c", restarted);
        expect(restarted.hold("a")).not.to.equal(undefined);
    });

    it("passes a release on", () => {
        const control = copy();
        const [one, other] = [new Asker(), new Asker()];
        one.crash("a", "s1", "s2");
        [one, other].forEach(asker => asker.ask("c", control));
        expect(control.release("a", "somebody")).to.equal(true);
        [one, other].forEach(asker => asker.ask("c", control));
        expect([one, other].map(({ held }) => held.hold("a"))).to.deep.equal([undefined, undefined]);
    });
});
