import { expect } from "chai";
import { Invariants } from "../invariants.js";
import { busyOrganisation, freeKey, freeOrganisation } from "../organisations.js";

/** What a backend server receives of a request with the usual key. */
const runOf = (attempt: string) => ({ attempt, organisation: freeOrganisation, key: undefined });

describe("invariants that the soak checks", () => {
    let invariants: Invariants;
    const violatedInvariants = (): string[] => invariants.checkRequests().map(({ invariant }) => invariant);
    const right = { kind: "answered", status: 200, sealed: true, right: true } as const;

    beforeEach(() => {
        invariants = Invariants.create();
    });

    it("reports nothing if each request is answered once, with the complete body", () => {
        const request = invariants.requestSent("a", "once", "g", 0, freeKey);
        invariants.runStarted(runOf("a"), "engine", 10)(50);
        invariants.requestEnded(request, right, 50);
        expect(violatedInvariants()).to.deep.equal([]);
    });

    it("reports a non-idempotent request that ran on two backend servers", () => {
        const request = invariants.requestSent("a", "unsafe", "g", 0, freeKey);
        invariants.runStarted(runOf("a"), "one", 10)(20);
        invariants.runStarted(runOf("a"), "other", 30)(40);
        invariants.requestEnded(request, right, 50);
        expect(violatedInvariants()).to.deep.equal(["at most once"]);
    });

    it("reports a crash under a request long after its third one, without another fault", () => {
        invariants.disturb("deadlyRequests", 0);
        [0, 100, 200, 2_900].forEach((at, index) => invariants.backendCrashed("deadly", `s${index}`, at));
        expect(violatedInvariants()).to.deep.equal([]);
        invariants.backendCrashed("deadly", "s4", 3_400);
        expect(violatedInvariants()).to.deep.equal(["held back"]);
    });

    // Guards against a run that is called broken since requests with keys that were taken away came to partitioned gateways by chance.
    it("reports partitioned gateways that serve less than the others, apart from keys that were taken away", () => {
        invariants.partitioned("partitioned", 0)(60_000);
        const takenAway = { ...freeKey, version: 1 };
        const send = (number: number, gateway: string, status: number): void => {
            const key = status === 401 ? takenAway : freeKey;
            const request = invariants.requestSent(`${gateway}-${number}`, "safe", gateway, 10_000 + number, key);
            invariants.requestEnded(
                request,
                { ...right, status, sealed: status === 200, right: status === 200 },
                10_010 + number,
            );
        };
        const counts = [["partitioned", 200, 36], ["partitioned", 401, 8], ["other", 200, 15]] as const;
        counts.forEach(([gateway, status, count]) => {
            Array.from({ length: count }, (_, number) => send(status * 100 + number, gateway, status));
        });
        expect(violatedInvariants()).to.deep.equal([]);
        Array.from({ length: 8 }, (_, number) => send(number, "partitioned", 503));
        expect(violatedInvariants()).to.include("partitioned gateways serve");
    });

    it("reports streams with events of two versions, and resumed streams that don't continue", () => {
        const resume = (number: number, status: number, version: string): void => {
            const begun = invariants.requestSent(`a${number}`, "resumable", "g", 0, freeKey);
            begun.versions = ["v1"];
            invariants.requestEnded(begun, { kind: "left" }, 10);
            const resumption = { firstAttempt: `a${number}`, lastEvent: 1 };
            const next = invariants.requestSent(`b${number}`, "resumable", "h", 20, freeKey, resumption);
            next.versions = [version];
            invariants.requestEnded(next, { ...right, status, sealed: status === 200, right: status === 200 }, 30);
        };
        Array.from({ length: 12 }, (_, number) => resume(number, 200, "v1"));
        expect(violatedInvariants()).to.deep.equal([]);
        resume(12, 200, "v2");
        Array.from({ length: 8 }, (_, number) => resume(20 + number, 503, "v1"));
        expect(violatedInvariants().sort()).to.deep.equal(["one version", "resumed streams continue"]);
    });

    it("reports a not-run status for a request that has run, even if the request is idempotent", () => {
        const request = invariants.requestSent("a", "safe", "g", 0, freeKey);
        invariants.runStarted(runOf("a"), "one", 10)(20);
        invariants.requestEnded(request, { kind: "answered", status: 503, sealed: false, right: false }, 50);
        expect(violatedInvariants()).to.deep.equal(["not run is true"]);
    });

    it("reports a response of another caller, and a run of a request that no caller sent", () => {
        const request = invariants.requestSent("a", "safe", "g", 0, freeKey);
        invariants.runStarted(runOf("b"), "one", 10);
        invariants.requestEnded(request, { ...right, right: false }, 50);
        expect(violatedInvariants()).to.deep.equal(["unasked", "its own whole answer"]);
    });

    it("reports work that continues after its caller disconnected, unless a fault was active", () => {
        const abandonRequest = (): void => {
            const request = invariants.requestSent("a", "once", "g", 10_000, freeKey);
            invariants.runStarted(runOf("a"), "one", 10_010);
            invariants.requestEnded(request, { kind: "left" }, 10_100);
        };
        abandonRequest();
        expect(violatedInvariants()).to.deep.equal(["nothing is held for who has gone"]);
        invariants = Invariants.create();
        invariants.disturb("a cut", 9_000)(9_500);
        abandonRequest();
        expect(violatedInvariants()).to.deep.equal([]);
    });

    it("reports a request that was cut off while no unplanned fault was active", () => {
        const cut = { kind: "cut", cause: "socket hang up" } as const;
        invariants.disturb("a kill", 0)(1_000);
        invariants.requestEnded(invariants.requestSent("a", "once", "g", 2_000, freeKey), cut, 2_100);
        invariants.requestEnded(invariants.requestSent("b", "once", "g", 8_000, freeKey), cut, 8_100);
        expect(invariants.checkRequests().map(({ what }) => what)).to.deep.equal(["once b by g: socket hang up"]);
    });

    it("reports new work at a draining backend server after gateways had time to learn of the drain", () => {
        invariants.drainAcknowledged("one", 1_000);
        invariants.requestSent("a", "safe", "g", 0, freeKey);
        invariants.runStarted(runOf("a"), "one", 2_000)(2_010);
        invariants.runStarted(runOf("a"), "one", 6_000)(6_010);
        expect(invariants.violations.map(({ invariant }) => invariant)).to.deep.equal(["drain"]);
    });

    it("reports a run in the name of another organisation, and a key that was passed on", () => {
        invariants.requestSent("a", "safe", "g", 0, freeKey);
        invariants.runStarted({ ...runOf("a"), organisation: busyOrganisation }, "one", 10);
        invariants.runStarted({ ...runOf("a"), organisation: undefined }, "one", 10);
        invariants.runStarted({ ...runOf("a"), key: "Bearer k" }, "one", 10);
        expect(invariants.violations.map(({ invariant }) => invariant)).to.deep.equal(
            new Array<string>(3).fill("organisation"),
        );
    });

    it("reports a run with a key that a newer configuration doesn't contain", () => {
        const key = { ...freeKey, version: 1 };
        invariants.configurationAcknowledged(1);
        invariants.configurationAcknowledged(2);
        const now = performance.now();
        invariants.requestSent("a", "safe", "g", now + 1_000, key);
        invariants.runStarted(runOf("a"), "one", now + 1_010);
        expect(invariants.violations).to.deep.equal([]);
        invariants.requestSent("b", "safe", "g", now + 6_000, key);
        invariants.runStarted(runOf("b"), "one", now + 6_010);
        expect(invariants.violations.map(({ invariant }) => invariant)).to.deep.equal(["organisation"]);
    });

    it("reports more runs in a window than an allowance admits", () => {
        const key = { key: "k", organisation: busyOrganisation };
        const run = (number: number): void => {
            const request = invariants.requestSent(`r${number}`, "safe", "g", number, key);
            const received = { attempt: `r${number}`, organisation: busyOrganisation, key: undefined };
            invariants.runStarted(received, "one", number)(number);
            invariants.requestEnded(request, right, number);
        };
        for (let number = 0; number < 34; number++) {
            run(number);
        }
        expect(violatedInvariants()).to.deep.equal([]);
        run(34);
        expect(violatedInvariants()).to.deep.equal(["allowance"]);
    });

    it("reports a configuration that is older than the acknowledged one, or was never sent", () => {
        invariants.configurationSent(1, "one");
        invariants.configurationSent(2, "two");
        invariants.configurationAcknowledged(2);
        invariants.configurationRead(2, "two", invariants.newestAcknowledged());
        expect(invariants.violations).to.deep.equal([]);
        invariants.configurationRead(1, "one", invariants.newestAcknowledged());
        invariants.configurationRead(2, "other", invariants.newestAcknowledged());
        expect(invariants.violations.map(({ invariant }) => invariant)).to.deep.equal([
            "configuration",
            "configuration",
        ]);
    });

    it("reports two holders of the order lease with the same fencing token", () => {
        invariants.orderAccepted("one", 3);
        invariants.orderAccepted("one", 3);
        invariants.orderAccepted("other", 4);
        expect(invariants.violations).to.deep.equal([]);
        invariants.orderAccepted("other", 3);
        expect(invariants.violations.map(({ invariant }) => invariant)).to.deep.equal(["one holder"]);
    });
});
