import { expect } from "chai";
import type { ServerAnnouncement, ServerCalls } from "../../../protocol/index.js";
import { CallTally, type OpenCall } from "../callTally.js";
import { OutlierDetector } from "../outlierDetector.js";
import { ServerChoice } from "../serverChoice.js";
import { announced } from "./fakes.js";

const domains = ["a", "b", "c", "d", "e"];
const servers = domains.map(domain => announced({ id: `server-${domain}`, service: "s", failureDomain: domain }));
const noServers = new Set<string>();
/** Milliseconds of a successful call, of a hanging call until its caller's timeout, and between two reports of call counts. */
const callTime = 86;
const callerTimeout = 2_000;
const reviewInterval = 500;

type Gateway = { readonly choice: ServerChoice; readonly tally: CallTally; };
type CallEnding = { readonly at: number; readonly end: () => void; };

/**
 * Simulates 135 requests a second at 191 gateways in front of five servers, one of which hangs after 2 s. Returns the
 * fraction of the later requests that were sent to it.
 */
function hangingServerRatio(isShared: boolean): number {
    const detector = OutlierDetector.create();
    let ejected: readonly string[] = [];
    const gateways = Array.from({ length: 191 }, (_, number): Gateway => ({
        choice: ServerChoice.create(domains[number % 5]!, undefined, () => isShared ? ejected : []),
        tally: CallTally.create(),
    }));
    let endings: CallEnding[] = [];
    let sentCalls = 0;
    let hungCalls = 0;
    const end = (gateway: Gateway, server: ServerAnnouncement, open: OpenCall, hung: boolean, now: number): void => {
        const outcome = hung ? "failed" : "answered";
        gateway.choice.recordOutcome(server, outcome, now - open.startedAt, now);
        gateway.tally.recordOutcome(open, outcome, now);
    };
    const call = (gateway: Gateway, now: number): void => {
        const server = gateway.choice.choose(servers, noServers, now)!;
        const hangs = now > 2_000 && server.id === "server-b";
        sentCalls += now > 2_000 ? 1 : 0;
        hungCalls += hangs ? 1 : 0;
        gateway.choice.recordStart(server.id);
        const open = gateway.tally.recordStart(server, now);
        const at = now + (hangs ? callerTimeout : callTime);
        endings.push({ at, end: () => end(gateway, server, open, hangs, at) });
    };
    for (let now = 0; now < 10_000; now += 10) {
        endings.filter(({ at }) => at <= now).forEach(ending => ending.end());
        endings = endings.filter(({ at }) => at > now);
        if (now % 30 !== 0) {
            Array.from({ length: 2 }, (_, number) => call(gateways[(now * 7 + number * 89) % 191]!, now));
        }
        if (now % reviewInterval === 0) {
            gateways.forEach(({ tally }) => detector.addCalls(tally.takeCounts(now), now));
            detector.updateEjections(now);
            ejected = detector.ejected();
        }
    }
    return hungCalls / sentCalls;
}

function calls(id: string, answered: number, failed: number): ServerCalls {
    return { id, service: "s", answered, failed };
}

describe("OutlierDetector", () => {
    // Guards against the loss of many requests for as long as one of five servers hangs. Without shared call counts, each of
    // 191 gateways, with a request in 1.4 s, detects the server by itself, avoids it, and forgets it after some seconds.
    it("keeps requests away from a server whose calls hang at other gateways", () => {
        const local = hangingServerRatio(false);
        const shared = hangingServerRatio(true);
        expect(local).to.be.above(0.1);

        expect(shared).to.be.below(local / 2);
    });

    it("ejects a server that fails far more often than the others, and none if all fail equally often", () => {
        const detector = OutlierDetector.create();
        detector.addCalls([calls("x", 20, 20), calls("y", 38, 3), calls("z", 40, 2)], 1_000);
        expect(detector.updateEjections(1_000)).to.equal(true);
        expect(detector.ejected()).to.deep.equal(["x"]);
        const equalDetector = OutlierDetector.create();
        equalDetector.addCalls([calls("x", 20, 20), calls("y", 22, 18), calls("z", 21, 20)], 1_000);
        expect(equalDetector.updateEjections(1_000)).to.equal(false);
    });

    it("never ejects more than half of a service's servers", () => {
        const detector = OutlierDetector.create();
        detector.addCalls([calls("v", 0, 9), calls("w", 0, 9), calls("x", 90, 0), calls("y", 0, 9)], 0);
        detector.updateEjections(0);
        expect(detector.ejected().length).to.equal(2);
    });

    it("allows calls to an ejected server again after some seconds without calls", () => {
        const detector = OutlierDetector.create();
        detector.addCalls([calls("x", 0, 12), calls("y", 40, 0)], 0);
        detector.updateEjections(0);
        expect(detector.ejected()).to.deep.equal(["x"]);
        expect(detector.updateEjections(7_000)).to.equal(true);
        expect(detector.ejected()).to.deep.equal([]);
    });

    it("counts a hanging call once, and not a call whose caller disconnected", () => {
        const tally = CallTally.create();
        const hung = tally.recordStart(servers[0]!, 0);
        tally.discardCall(tally.recordStart(servers[1]!, 0));
        expect(tally.takeCounts(100)).to.deep.equal([]);
        expect(tally.takeCounts(1_000)).to.deep.equal([{ id: "server-a", service: "s", answered: 0, failed: 1 }]);
        tally.recordOutcome(hung, "failed", 2_000);
        expect(tally.takeCounts(2_500)).to.deep.equal([]);
    });
});
