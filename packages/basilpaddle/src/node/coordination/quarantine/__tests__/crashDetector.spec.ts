import { expect } from "chai";
import { ManualClock } from "../../../../../../../simulation/manualClock.js";
import { quarantineRulesSchema } from "../../../protocol/index.js";
import type { ListenStatus } from "../../../transport/index.js";
import { createSilentLogger, SilentMetrics } from "../../../utils/index.js";
import { CrashDetector } from "../crashDetector.js";
import { QuarantinedRequests } from "../quarantinedRequests.js";

const request = { digest: "d", attempt: "a" };
const server = { id: "s1", address: "10.0.0.1:80" };

describe("the crash detector", () => {
    let clock: ManualClock;
    let quarantinedRequests: QuarantinedRequests;
    let detector: CrashDetector;
    let listening: ListenStatus;
    let probeCount: number;
    let lostServers: Set<string>;

    beforeEach(() => {
        clock = new ManualClock();
        listening = "no";
        probeCount = 0;
        lostServers = new Set();
        const logger = createSilentLogger();
        quarantinedRequests = QuarantinedRequests.create({
            rules: quarantineRulesSchema.parse({}),
            publishRecords: () => undefined,
            clock,
            logger,
        });
        detector = CrashDetector.create({
            quarantine: quarantinedRequests,
            isLost: id => lostServers.has(id),
            listenStatusOf: async () => {
                probeCount += 1;
                return listening;
            },
            clock,
            logger,
            metrics: SilentMetrics.create(),
        });
    });

    afterEach(() => detector.close());

    it("counts a server as crashed if nothing listens at its address, and probes once for all its runs", async () => {
        await Promise.all(
            ["d", "e", "f"].map(digest => detector.reportLostRun({ digest, attempt: digest }, server, "early")),
        );
        expect([probeCount, quarantinedRequests.all().length]).to.deep.equal([1, 3]);
    });

    it("waits for a report of the server's end if something listens or the probe times out", async () => {
        for (const found of ["yes", "unknown"] as const) {
            listening = found;
            const digest = `with ${found}`;
            await detector.reportLostRun(
                { digest, attempt: "a" },
                { id: `s ${found}`, address: "10.0.0.1:80" },
                "late",
            );
            await clock.advance(2_000);
            expect(quarantinedRequests.isSuspected(digest)).to.equal(false);
            lostServers.add(`s ${found}`);
            await clock.advance(300);
            expect(quarantinedRequests.isSuspected(digest)).to.equal(true);
        }
    });

    // Guards against quarantining a common request: it was answered and met two crashes a moment later. The second clearing
    // came so soon after the first that it was ignored as a duplicate, and the request was refused to all callers for ten
    // minutes.
    it("doesn't quarantine a common request that meets crashes just after it was answered, here or at another daemon", async () => {
        const other = QuarantinedRequests.create({
            rules: quarantineRulesSchema.parse({}),
            publishRecords: () => undefined,
            clock,
            logger: createSilentLogger(),
        });
        detector.reportAnswered(request);
        quarantinedRequests.merge([{ digest: request.digest, crashes: [], clearedAge: 0 }]);
        other.merge([{ digest: request.digest, crashes: [], clearedAge: 0 }]);
        await clock.advance(300);
        const crashes = ["s1", "s2"].map(id => ({ server: id, phase: "early" as const, age: 0 }));
        [quarantinedRequests, other].forEach(copy => copy.merge([{ digest: request.digest, crashes }]));
        expect(detector.quarantineStatus(request)).to.equal(undefined);
        await clock.advance(10);
        other.merge(quarantinedRequests.changedAfter(0));
        expect(other.quarantineStatus(request.digest)).to.equal(undefined);
        expect(other.merge(quarantinedRequests.changedAfter(0))).to.deep.equal([]);
    });

    // Guards against quarantining the victims of a rack failure: requests timed out at two unresponsive engines in turn, each
    // before a first event, and would have been quarantined once heartbeats reported both as ended, though a third engine
    // could have served them.
    it("doesn't count a run that timed out at an unresponsive server as an early crash", async () => {
        listening = "unknown";
        for (const id of ["s1", "s2"]) {
            await detector.reportLostRun(request, { ...server, id }, "early");
            lostServers.add(id);
        }
        await clock.advance(1_000);
        expect(quarantinedRequests.all()[0]?.crashes).to.have.length(2);
        expect(detector.quarantineStatus(request)).to.equal(undefined);
    });

    it("doesn't attribute a server's end to a run that was lost long before", async () => {
        listening = "yes";
        await detector.reportLostRun(request, server, "early");
        await clock.advance(20_000);
        lostServers.add(server.id);
        await clock.advance(1_000);
        expect(quarantinedRequests.all()).to.deep.equal([]);
    });

    it("counts no crashes against a request that is answered, here or at another daemon", async () => {
        await detector.reportLostRun(request, server, "early");
        await detector.reportLostRun(request, { ...server, id: "s2" }, "early");
        expect(detector.quarantineStatus(request)?.crashes).to.have.length(2);
        await clock.advance(10);
        detector.reportAnswered(request);
        expect(detector.quarantineStatus(request)).to.equal(undefined);
        // Other daemons report crashes while it was answered here: it is a common request.
        await clock.advance(5_000);
        const crashes = ["s3", "s4"].map(id => ({ server: id, phase: "early" as const, age: 0 }));
        quarantinedRequests.merge([{ digest: request.digest, crashes }]);
        expect(detector.quarantineStatus(request)).to.equal(undefined);
        // An old answer is no evidence about the servers that run now.
        await clock.advance(120_000);
        quarantinedRequests.merge([{
            digest: request.digest,
            crashes: ["s5", "s6"].map(id => ({ server: id, phase: "early" as const, age: 0 })),
        }]);
        expect(detector.quarantineStatus(request)).not.to.equal(undefined);
    });
});
