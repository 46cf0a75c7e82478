import { expect } from "chai";
import { ManualClock } from "../../../../../../../simulation/manualClock.js";
import { holdRulesSchema } from "../../../protocol/index.js";
import type { Listening } from "../../../transport/index.js";
import { createSilentLogger, SilentMetrics } from "../../../utils/index.js";
import { CrashWatch } from "../crashWatch.js";
import { HeldRequests } from "../heldRequests.js";

const request = { digest: "d", attempt: "a" };
const server = { id: "s1", address: "10.0.0.1:80" };

describe("the watch for backend servers that end under requests", () => {
    let clock: ManualClock;
    let held: HeldRequests;
    let watch: CrashWatch;
    let listening: Listening;
    let looks: number;
    let gone: Set<string>;

    beforeEach(() => {
        clock = new ManualClock();
        listening = "no";
        looks = 0;
        gone = new Set();
        const logger = createSilentLogger();
        held = HeldRequests.create({ rules: holdRulesSchema.parse({}), tell: () => undefined, clock, logger });
        watch = CrashWatch.create({
            held,
            isGone: id => gone.has(id),
            listens: async () => {
                looks += 1;
                return listening;
            },
            clock,
            logger,
            metrics: SilentMetrics.create(),
        });
    });

    afterEach(() => watch.close());

    it("takes one for ended where nothing listens any more, and looks once for all its runs", async () => {
        await Promise.all(["d", "e", "f"].map(digest => watch.lost({ digest, attempt: digest }, server, "early")));
        expect([looks, held.all().length]).to.deep.equal([1, 3]);
    });

    it("waits for word where something listens, or nothing answers", async () => {
        for (const found of ["yes", "unknown"] as const) {
            listening = found;
            const digest = `with ${found}`;
            await watch.lost({ digest, attempt: "a" }, { id: `s ${found}`, address: "10.0.0.1:80" }, "late");
            await clock.pass(2_000);
            expect(held.isSuspected(digest)).to.equal(false);
            gone.add(`s ${found}`);
            await clock.pass(300);
            expect(held.isSuspected(digest)).to.equal(true);
        }
    });

    // A request that many callers send alike was answered, met two crashes a moment later, and was held back from all of them for
    // ten minutes: word that it had been answered counted for nothing so soon after the same word before.
    it("lets a common request go on that meets crashes just after it was answered, here and at others", async () => {
        const other = HeldRequests.create({
            rules: holdRulesSchema.parse({}),
            tell: () => undefined,
            clock,
            logger: createSilentLogger(),
        });
        watch.answered(request);
        held.merge([{ digest: request.digest, crashes: [], clearedAge: 0 }]);
        other.merge([{ digest: request.digest, crashes: [], clearedAge: 0 }]);
        await clock.pass(300);
        const crashes = ["s1", "s2"].map(id => ({ server: id, phase: "early" as const, age: 0 }));
        [held, other].forEach(copy => copy.merge([{ digest: request.digest, crashes }]));
        expect(watch.hold(request)).to.equal(undefined);
        await clock.pass(10);
        other.merge(held.since(0));
        expect(other.hold(request.digest)).to.equal(undefined);
        expect(other.merge(held.since(0))).to.deep.equal([]);
    });

    // Engines of a rack fell silent together. Requests gave two of them up in turn, each before a first event, and would have been
    // held back once heartbeats said that both were gone, though a third engine could have served them.
    it("takes a run that was given up at a silent server for no sign that it ended early", async () => {
        listening = "unknown";
        for (const id of ["s1", "s2"]) {
            await watch.lost(request, { ...server, id }, "early");
            gone.add(id);
        }
        await clock.pass(1_000);
        expect(held.all()[0]?.crashes).to.have.length(2);
        expect(watch.hold(request)).to.equal(undefined);
    });

    it("puts an end down to no run that broke off long before", async () => {
        listening = "yes";
        await watch.lost(request, server, "early");
        await clock.pass(20_000);
        gone.add(server.id);
        await clock.pass(1_000);
        expect(held.all()).to.deep.equal([]);
    });

    it("holds nothing against a request that is answered, here or at another daemon", async () => {
        await watch.lost(request, server, "early");
        await watch.lost(request, { ...server, id: "s2" }, "early");
        expect(watch.hold(request)?.crashes).to.have.length(2);
        await clock.pass(10);
        watch.answered(request);
        expect(watch.hold(request)).to.equal(undefined);
        // Other daemons met crashes while it was answered here: it is a common one.
        await clock.pass(5_000);
        const crashes = ["s3", "s4"].map(id => ({ server: id, phase: "early" as const, age: 0 }));
        held.merge([{ digest: request.digest, crashes }]);
        expect(watch.hold(request)).to.equal(undefined);
        // An answer of long ago says nothing of the servers that there are now.
        await clock.pass(120_000);
        held.merge([{
            digest: request.digest,
            crashes: ["s5", "s6"].map(id => ({ server: id, phase: "early" as const, age: 0 })),
        }]);
        expect(watch.hold(request)).not.to.equal(undefined);
    });
});
