import { expect } from "chai";
import { type Arrival, ServerArrivals } from "../serverArrivals.js";

function arrival(change: Partial<Arrival>): Arrival {
    return { attempt: "a", gateway: "g", server: "s", service: "plain", at: 0, isAcceptedPrefill: false, ...change };
}

describe("what arrives at backend servers", () => {
    let arrivals: ServerArrivals;

    beforeEach(() => {
        arrivals = ServerArrivals.create();
    });

    /** Requests at the server at equal intervals, by one gateway, from 0 s to 10 s. */
    function sendEvenly(count: number, gateway = "g"): void {
        for (let number = 0; number < count; number++) {
            arrivals.arrived(arrival({ attempt: `${gateway}-${number}`, gateway, at: 10_000 * number / count }));
        }
    }

    it("violates a limit once more than one and a half times of it and five arrive in a window", () => {
        arrivals.limitNamed("s", 2, 0);
        arrivals.told("s", "g", 100);
        sendEvenly(42);
        expect(arrivals.limitViolations()).to.deep.equal([]);
        sendEvenly(10);
        expect(arrivals.limitViolations()).to.deep.equal(["s got 21 requests in a window, allowed 17"]);
    });

    it("violates no limit by gateways that weren't told, were told a moment ago, or have started again", () => {
        arrivals.limitNamed("s", 2, 0);
        sendEvenly(100);
        expect(arrivals.limitViolations()).to.deep.equal([]);
        arrivals.told("s", "g", 9_800);
        expect(arrivals.limitViolations()).to.deep.equal([]);
        arrivals.told("s", "h", 0);
        sendEvenly(100, "h");
        arrivals.gatewayStarted("h", 3_000);
        expect(arrivals.limitViolations()).to.deep.equal([]);
    });

    it("violates no limit after its end", () => {
        arrivals.limitNamed("s", 2, 0)(3_000);
        arrivals.told("s", "g", 0);
        sendEvenly(100);
        expect(arrivals.limitViolations()).to.deep.equal([]);
    });

    it("violates the retry allowance once more retries arrive than its ratio and its slack", () => {
        for (let number = 0; number < 100; number++) {
            arrivals.requestSent("plain", 0);
            arrivals.arrived(arrival({ attempt: `first-${number}` }));
        }
        const sendRetries = (count: number): void => {
            for (let number = 0; number < count; number++) {
                arrivals.arrived(arrival({ attempt: "first-0", at: 10 }));
            }
        };
        sendRetries(70);
        expect(arrivals.retryViolations()).to.deep.equal([]);
        sendRetries(1);
        expect(arrivals.retryViolations()).to.deep.equal(["plain got 71 retries in a window, allowed 70"]);
    });

    it("counts no retry for an attempt's first accepted prefill, but one for its second", () => {
        for (let number = 0; number < 60; number++) {
            const attempt = `a-${number}`;
            arrivals.arrived(arrival({ attempt, isAcceptedPrefill: true }));
            arrivals.arrived(arrival({ attempt }));
        }
        expect(arrivals.retryViolations()).to.deep.equal([]);
        for (let number = 0; number < 60; number++) {
            arrivals.arrived(arrival({ attempt: `a-${number}`, isAcceptedPrefill: true }));
        }
        expect(arrivals.retryViolations()).to.deep.equal(["plain got 60 retries in a window, allowed 50"]);
    });
});
