import { expect } from "chai";
import { ManualClock } from "../../../../../../../simulation/manualClock.js";
import { announced } from "../../../coordination/gateway/__tests__/fakes.js";
import { createSilentLogger } from "../../../utils/index.js";
import { ServerHearing } from "../serverHearing.js";

function hearingOf(name: string, onNews = (): void => undefined): ServerHearing {
    return ServerHearing.create({
        name,
        heartbeat: 1_000,
        clock: new ManualClock(),
        logger: createSilentLogger(),
        onNews,
        onBelief: () => undefined,
    });
}

// Symptom: for half a second after a loss of power everywhere callers are sent away, "no backend server is known".
// Sequence: one plain server is left, and one of three directories hears it; the two others start first, and gateways have a
// configuration from these.
// Cause: each directory remembered only the servers that it had heard itself.
describe("backend servers that a directory remembers", () => {
    it("are also those that other directories hear, so that the first one to start knows them", () => {
        const hearing = hearingOf("d-1");
        hearing.announce(announced({ id: "own" }));
        hearing.hearOther(announced({ id: "elsewhere" }));
        hearing.hearOther(announced({ id: "gone", state: "silent" }));
        hearing.hearOther(announced({ id: "left", state: "left" }));
        expect(hearing.memorable().map(({ id }) => id)).to.deep.equal(["own", "elsewhere"]);
    });

    // Symptom: after a restart of all directories each tells each gateway a thousand servers.
    it("are no more than a hundred of those that others hear, another hundred at each directory", () => {
        const remembered = ["d-1", "d-2"].map(name => {
            const hearing = hearingOf(name);
            for (let number = 0; number < 1_000; number++) {
                hearing.hearOther(announced({ id: `i-${number}`, address: `10.0.0.1:${number}` }));
            }
            return new Set(hearing.memorable().map(({ id }) => id));
        });
        expect(remembered.map(({ size }) => size)).to.deep.equal([100, 100]);
        expect(new Set(remembered.flatMap(ids => [...ids])).size).to.be.at.least(180);
    });

    // Symptom: after a restart nobody knows a server that had moved from one directory to another.
    // Sequence: the second one hears it, which is nothing new to believe; the first one finds it silent, and forgets it.
    // Cause: what is remembered was written down only where a belief had changed, not where one was heard here first.
    it("are news when one moves to the directory, though it was believed in before", () => {
        let news = 0;
        const hearing = hearingOf("d-1", () => {
            news += 1;
        });
        hearing.hearOther(announced({ id: "i", sequence: 4 }));
        expect(news).to.equal(0);
        hearing.announce(announced({ id: "i", sequence: 5 }));
        expect(news).to.equal(1);
        expect(hearing.announcements.memorable().map(({ id }) => id)).to.deep.equal(["i"]);
    });
});
