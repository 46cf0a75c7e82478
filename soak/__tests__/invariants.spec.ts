import { expect } from "chai";
import { Invariants } from "../invariants.js";

describe("invariants that the soak holds the daemons to", () => {
    let invariants: Invariants;
    const broken = (): string[] => invariants.judge().map(({ invariant }) => invariant);
    const right = { kind: "answered", status: 200, sealed: true, right: true } as const;

    beforeEach(() => {
        invariants = Invariants.create();
    });

    it("finds nothing where each request is answered once, in full", () => {
        const request = invariants.sent("a", "once", "g", 0);
        invariants.ran("a", "engine", 10)(50);
        invariants.ended(request, right, 50);
        expect(broken()).to.deep.equal([]);
    });

    it("finds a request that may run once at two backend servers", () => {
        const request = invariants.sent("a", "unsafe", "g", 0);
        invariants.ran("a", "one", 10)(20);
        invariants.ran("a", "other", 30)(40);
        invariants.ended(request, right, 50);
        expect(broken()).to.deep.equal(["at most once"]);
    });

    it("finds a backend server that ends under a request long after three others did, where nothing else is wrong", () => {
        invariants.disturb("deadlyRequests", 0);
        [0, 100, 200, 2_900].forEach((at, index) => invariants.endedUnder("deadly", `s${index}`, at));
        expect(broken()).to.deep.equal([]);
        invariants.endedUnder("deadly", "s4", 3_400);
        expect(broken()).to.deep.equal(["held back"]);
    });

    it("finds a refusal of what has run, also where it may be repeated", () => {
        const request = invariants.sent("a", "safe", "g", 0);
        invariants.ran("a", "one", 10)(20);
        invariants.ended(request, { kind: "answered", status: 503, sealed: false, right: false }, 50);
        expect(broken()).to.deep.equal(["not run is true"]);
    });

    it("finds another caller's answer, and a run that nobody asked for", () => {
        const request = invariants.sent("a", "safe", "g", 0);
        invariants.ran("b", "one", 10);
        invariants.ended(request, { ...right, right: false }, 50);
        expect(broken()).to.deep.equal(["unasked", "its own whole answer"]);
    });

    it("finds work that goes on for a caller who has gone, unless something was wrong", () => {
        const leave = (): void => {
            const request = invariants.sent("a", "once", "g", 10_000);
            invariants.ran("a", "one", 10_010);
            invariants.ended(request, { kind: "left" }, 10_100);
        };
        leave();
        expect(broken()).to.deep.equal(["nothing is held for who has gone"]);
        invariants = Invariants.create();
        invariants.disturb("a cut", 9_000)(9_500);
        leave();
        expect(broken()).to.deep.equal([]);
    });

    it("finds a request that was cut off while nothing unplanned went wrong", () => {
        const cut = { kind: "cut", cause: "socket hang up" } as const;
        invariants.disturb("a kill", 0)(1_000);
        invariants.ended(invariants.sent("a", "once", "g", 2_000), cut, 2_100);
        invariants.ended(invariants.sent("b", "once", "g", 8_000), cut, 8_100);
        expect(invariants.judge().map(({ what }) => what)).to.deep.equal(["once b by g: socket hang up"]);
    });

    it("finds new work at a backend server that has left, once gateways had the time to hear of it", () => {
        invariants.leaves("one", 1_000);
        invariants.sent("a", "safe", "g", 0);
        invariants.ran("a", "one", 2_000)(2_010);
        invariants.ran("a", "one", 6_000)(6_010);
        expect(invariants.violations.map(({ invariant }) => invariant)).to.deep.equal(["drain"]);
    });

    it("finds a configuration that is older than what was acknowledged, or was never sent", () => {
        invariants.offered(1, "one");
        invariants.offered(2, "two");
        invariants.accepted(2);
        invariants.read(2, "two", invariants.newest());
        expect(invariants.violations).to.deep.equal([]);
        invariants.read(1, "one", invariants.newest());
        invariants.read(2, "other", invariants.newest());
        expect(invariants.violations.map(({ invariant }) => invariant)).to.deep.equal([
            "configuration",
            "configuration",
        ]);
    });

    it("finds two holders of the right to give orders under one fencing token", () => {
        invariants.ordered("one", 3);
        invariants.ordered("one", 3);
        invariants.ordered("other", 4);
        expect(invariants.violations).to.deep.equal([]);
        invariants.ordered("other", 3);
        expect(invariants.violations.map(({ invariant }) => invariant)).to.deep.equal(["one holder"]);
    });
});
