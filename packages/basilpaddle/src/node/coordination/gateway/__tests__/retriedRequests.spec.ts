import { expect } from "chai";
import { PlacementQueue } from "../placementQueue.js";
import { fillOnlyEngine, placed, refused, typicalPlacementRequest } from "./fakes.js";

const deadline = 14_000;
const fullQueue = (): PlacementQueue => fillOnlyEngine(PlacementQueue.create({ fill: 1, share: 1 }));
const attemptOf = (content: string, attempt: string): ReturnType<typeof typicalPlacementRequest> =>
    typicalPlacementRequest(attempt, { content, finishWithin: deadline });

/** Queues a request and reviews the queue until it is refused; returns that time. */
function refuse(queue: PlacementQueue, content: string): number {
    let now = 200;
    queue.enqueueRequest(attemptOf(content, "refused"), now);
    while (refused(queue.review(now)).length === 0 && now < deadline) {
        now += 25;
    }
    return now;
}

describe("requests that are retried after a refusal", () => {
    // Guards against requests that are late in any case taking the room of others that could still be in time.
    it("let those go first that can still be in time", () => {
        const queue = fullQueue();
        const at = refuse(queue, "late");
        queue.enqueueRequest(attemptOf("late", "late-2"), at + 100);
        queue.enqueueRequest(attemptOf("new", "new-1"), at + 200);
        expect(placed(queue.release("held-0", {}, at + 300))).to.deep.equal(["new-1"]);
        expect(placed(queue.release("held-1", {}, at + 400))).to.deep.equal(["late-2"]);
    });

    // Guards against taking another caller, who sends the same content later, for the one that retries.
    it("are recognised once for each refusal", () => {
        const queue = fullQueue();
        const at = refuse(queue, "twice");
        queue.enqueueRequest(attemptOf("twice", "twice-2"), at + 100);
        queue.enqueueRequest(attemptOf("twice", "another-caller"), at + 200);
        expect(placed(queue.release("held-0", {}, at + 300))).to.deep.equal(["another-caller"]);
    });

    // Guards against telling the callers that a burst refuses to retry in the same burst, all at once.
    it("are told to come back when there will be room, not all at once", () => {
        const queue = fullQueue();
        const decisions = Array.from({ length: 40 }, (_, number) => {
            return queue.enqueueRequest(attemptOf(`content-${number}`, `attempt-${number}`), 200);
        }).flat();
        const delays = decisions.flatMap(decision => decision.kind === "refused" ? decision.comeBackIn : []);
        expect(delays.length).to.be.greaterThan(20);
        expect(Math.max(...delays)).to.be.at.most(deadline / 3);
        const inHalfSecondFrom = (first: number): number =>
            delays.filter(delay => delay >= first && delay < first + 500).length;
        // The backlog lasts longer than they may be told to wait: an even spread over the later half of that time.
        const evenly = delays.length * 500 / (deadline / 3 / 2);
        expect(Math.max(...delays.map(inHalfSecondFrom))).to.be.at.most(Math.ceil(evenly) + 1);
    });
});
