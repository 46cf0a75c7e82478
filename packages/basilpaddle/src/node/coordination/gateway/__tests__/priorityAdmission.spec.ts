import { expect } from "chai";
import type { PlacementDecision, PlacementRequest } from "../../../protocol/index.js";
import { createSilentLogger, RecordedMetrics } from "../../../utils/index.js";
import { PlacementQueue } from "../placementQueue.js";
import { QueueRecorder } from "../queueObserver.js";
import { RetryPromises } from "../retryPromises.js";
import { fillOnlyEngine, placed, refused, typicalPlacementRequest } from "./fakes.js";

/** A queue in front of one decode engine with room for eight typical requests, all of which it runs. */
function fullQueue(metrics = RecordedMetrics.create()): PlacementQueue {
    const recorder = QueueRecorder.create(createSilentLogger(), metrics);
    const queue = PlacementQueue.create({ fill: 1, share: 1 }, undefined, recorder);
    queue.setPrioritised(true, 0);
    return fillOnlyEngine(queue);
}

/** Sends typical requests of a priority, and returns the decisions. */
function send(
    queue: PlacementQueue,
    name: string,
    count: number,
    now: number,
    overrides: Partial<PlacementRequest>,
): PlacementDecision[] {
    return Array.from({ length: count }, (_, number) => {
        return queue.enqueueRequest(typicalPlacementRequest(`${name}-${number}`, overrides), now);
    }).flat();
}

const reasons = (decisions: readonly PlacementDecision[]): string[] =>
    decisions.flatMap(decision => decision.kind === "refused" ? decision.reason : []);

describe("the forecast of a wait", () => {
    // Guards against a wrong forecast, which refuses requests that could be served, that no metric shows.
    it("is recorded beside the wait that came, of requests that weren't placed at once", () => {
        const metrics = RecordedMetrics.create();
        const queue = fullQueue(metrics);
        send(queue, "waits", 1, 100, {});
        expect(placed(queue.release("held-0", {}, 700))).to.deep.equal(["waits-0"]);
        const text = metrics.text();
        expect(text).to.include("basilpaddle_placement_forecast_milliseconds_count{service=\"pool\"} 1");
        expect(text).to.include("basilpaddle_placement_outcome_milliseconds_count{service=\"pool\"} 1");
    });
});

describe("refusals in a pool with several priorities", () => {
    it("evict a waiting request at once that a higher priority displaces, and name that priority", () => {
        const metrics = RecordedMetrics.create();
        const queue = fullQueue(metrics);
        expect(send(queue, "low", 1, 0, { priority: 2, patienceWithin: 2_000 })).to.deep.equal([]);
        expect(send(queue, "high", 4, 10, { priority: 0, patienceWithin: 5_000 })).to.deep.equal([]);
        const decisions = queue.review(30);
        expect(refused(decisions)).to.deep.equal(["low-0"]);
        expect(reasons(decisions)).to.deep.equal(["gave way to rank 0"]);
        const text = metrics.text();
        expect(text).to.include(
            "basilpaddle_placements_refused_total{cause=\"gaveWay\",rank=\"2\",service=\"pool\"} 1",
        );
        expect(queue.waitingByPriority().get(0)).to.equal(4);
        expect(placed(queue.release("held-0", {}, 40))).to.deep.equal(["high-0"]);
    });

    it("say that there is no room if the request's own priority is ahead of it", () => {
        const queue = fullQueue();
        const decisions = send(queue, "low", 12, 0, { priority: 2, patienceWithin: 2_000 });
        expect(new Set(reasons(decisions))).to.deep.equal(new Set(["no room in time"]));
    });

    // Guards against a priority that is admitted and evicted in turns while the queue is as long as its callers wait.
    it("go on for a priority that was evicted until its forecast is well within its limit", () => {
        const queue = fullQueue();
        send(queue, "low", 1, 0, { priority: 2, patienceWithin: 1_500 });
        send(queue, "high", 3, 10, { priority: 0, patienceWithin: 5_000 });
        expect(refused(queue.review(30))).to.deep.equal(["low-0"]);
        queue.withdraw("high-0", 31);
        const atLimit = { priority: 2, patienceWithin: 1_600 };
        expect(refused(send(queue, "edge", 1, 32, atLimit))).to.deep.equal(["edge-0"]);
        expect(refused(send(fullQueueWith(2), "edge", 1, 32, atLimit))).to.deep.equal([]);
        queue.withdraw("high-1", 33);
        expect(refused(send(queue, "again", 1, 34, atLimit))).to.deep.equal([]);
    });

    // Guards against an eviction that has requests refused long afterwards, although they would be served in time.
    it("go on for two seconds at most", () => {
        const queue = fullQueue();
        send(queue, "low", 1, 0, { priority: 2, patienceWithin: 1_500 });
        send(queue, "high", 3, 10, { priority: 0, patienceWithin: 5_000 });
        expect(refused(queue.review(30))).to.deep.equal(["low-0"]);
        queue.withdraw("high-0", 31);
        expect(refused(send(queue, "later", 1, 2_040, { priority: 2, patienceWithin: 1_600 }))).to.deep.equal([]);
    });

    // Load: 40 requests of one priority at once to a pool that serves 2.5 a second. Guards against a second burst of retries.
    it("spread the retries over time, within a third of the time that callers have left", () => {
        const decisions = send(fullQueue(), "low", 40, 0, {
            priority: 2,
            patienceWithin: 2_000,
            deadlineWithin: 12_000,
        });
        const retries = decisions.flatMap(decision => decision.kind === "refused" ? decision.comeBackIn : []);
        expect(retries.length).to.be.above(30);
        expect(Math.max(...retries)).to.be.at.most(4_000);
        expect(Math.min(...retries)).to.be.above(1_000);
        const intervals = retries.map(retry => Math.floor(retry / 100));
        const most = Math.max(...intervals.map(interval => intervals.filter(other => other === interval).length));
        expect(most).to.be.at.most(3);
    });
});

/** The queue with that many requests of the highest priority waiting, and none evicted. */
function fullQueueWith(waiting: number): PlacementQueue {
    const queue = fullQueue();
    send(queue, "high", waiting, 10, { priority: 0, patienceWithin: 5_000 });
    return queue;
}

describe("the capacity promised to retries", () => {
    const retry = { tokens: 100, earliest: 250, latest: 900, spread: 0.5 };

    it("is given from the end of the backlog on, the first interval with capacity to each", () => {
        const promises = RetryPromises.create();
        const times = Array.from({ length: 5 }, () => promises.promise(retry, 2, 0));
        expect(times).to.deep.equal([275, 275, 350, 350, 450]);
    });

    it("is never after the latest time, and spread over the later half if the backlog takes longer", () => {
        const promises = RetryPromises.create();
        const late = { ...retry, earliest: 5_000 };
        const times = Array.from({ length: 30 }, () => promises.promise(late, 1, 0));
        expect(Math.min(...times)).to.be.at.least(450);
        expect(Math.max(...times)).to.be.at.most(900);
        expect(new Set(times).size).to.be.at.least(4);
        expect(promises.promise({ ...late, latest: -50 }, 1, 0)).to.equal(0);
    });
});
