import { expect } from "chai";
import { Promises } from "../promises.js";

describe("promises that the soak holds the daemons to", () => {
    let promises: Promises;
    const broken = (): string[] => promises.judge().map(({ promise }) => promise);
    const right = { kind: "answered", status: 200, sealed: true, right: true } as const;

    beforeEach(() => {
        promises = Promises.create();
    });

    it("finds nothing where each request is answered once, in full", () => {
        const request = promises.sent("a", "once", "g", 0);
        promises.ran("a", "engine", 10)(50);
        promises.ended(request, right, 50);
        expect(broken()).to.deep.equal([]);
    });

    it("finds a request that may run once at two backend servers", () => {
        const request = promises.sent("a", "unsafe", "g", 0);
        promises.ran("a", "one", 10)(20);
        promises.ran("a", "other", 30)(40);
        promises.ended(request, right, 50);
        expect(broken()).to.deep.equal(["at most once"]);
    });

    it("finds a refusal of what has run, also where it may be repeated", () => {
        const request = promises.sent("a", "safe", "g", 0);
        promises.ran("a", "one", 10)(20);
        promises.ended(request, { kind: "answered", status: 503, sealed: false, right: false }, 50);
        expect(broken()).to.deep.equal(["not run is true"]);
    });

    it("finds another caller's answer, and a run that nobody asked for", () => {
        const request = promises.sent("a", "safe", "g", 0);
        promises.ran("b", "one", 10);
        promises.ended(request, { ...right, right: false }, 50);
        expect(broken()).to.deep.equal(["unasked", "its own whole answer"]);
    });

    it("finds work that goes on for a caller who has gone, unless something was wrong", () => {
        const leave = (): void => {
            const request = promises.sent("a", "once", "g", 10_000);
            promises.ran("a", "one", 10_010);
            promises.ended(request, { kind: "left" }, 10_100);
        };
        leave();
        expect(broken()).to.deep.equal(["nothing is held for who has gone"]);
        promises = Promises.create();
        promises.disturb("a cut", 9_000)(9_500);
        leave();
        expect(broken()).to.deep.equal([]);
    });

    it("finds a request that was cut off while nothing unplanned went wrong", () => {
        const cut = { kind: "cut", cause: "socket hang up" } as const;
        promises.disturb("a kill", 0)(1_000);
        promises.ended(promises.sent("a", "once", "g", 2_000), cut, 2_100);
        promises.ended(promises.sent("b", "once", "g", 8_000), cut, 8_100);
        expect(promises.judge().map(({ what }) => what)).to.deep.equal(["once b by g: socket hang up"]);
    });

    it("finds new work at a backend server that has left, once gateways had the time to hear of it", () => {
        promises.leaves("one", 1_000);
        promises.sent("a", "safe", "g", 0);
        promises.ran("a", "one", 2_000)(2_010);
        promises.ran("a", "one", 6_000)(6_010);
        expect(promises.breaches.map(({ promise }) => promise)).to.deep.equal(["drain"]);
    });

    it("finds a configuration that is older than what was acknowledged, or was never sent", () => {
        promises.offered(1, "one");
        promises.offered(2, "two");
        promises.accepted(2);
        promises.read(2, "two", promises.newest());
        expect(promises.breaches).to.deep.equal([]);
        promises.read(1, "one", promises.newest());
        promises.read(2, "other", promises.newest());
        expect(promises.breaches.map(({ promise }) => promise)).to.deep.equal(["configuration", "configuration"]);
    });

    it("finds two holders of the right to give orders under one fencing token", () => {
        promises.ordered("one", 3);
        promises.ordered("one", 3);
        promises.ordered("other", 4);
        expect(promises.breaches).to.deep.equal([]);
        promises.ordered("other", 3);
        expect(promises.breaches.map(({ promise }) => promise)).to.deep.equal(["one holder"]);
    });
});
