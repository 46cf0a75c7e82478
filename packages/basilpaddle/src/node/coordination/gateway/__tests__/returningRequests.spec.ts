import { expect } from "chai";
import type { PlacementDecision, PlacementRequest } from "../../../protocol/index.js";
import { PlacementQueue } from "../placementQueue.js";
import { engines, placed, refused, rule, typicalPlacementRequest } from "./fakes.js";

/** Runs that fill the pool's only decode engine. */
const runsOfFullEngine = 8;
const timeoutMilliseconds = typicalPlacementRequest("any").patienceWithin;

function fullQueue(): PlacementQueue {
    const queue = PlacementQueue.create({ fill: 1, share: 1 });
    queue.setEngines(engines(1, 1), rule);
    for (let run = 0; run < runsOfFullEngine; run++) {
        queue.enqueueRequest(typicalPlacementRequest(`run-${run}`), 0);
        queue.prefillCompleted(`run-${run}`, 100);
    }
    return queue;
}

/** An attempt of a request with the given content. */
function attemptOf(content: string, attempt: string): PlacementRequest {
    return Object.assign(typicalPlacementRequest(attempt), { content });
}

/** Queues the request and reviews the queue until it is refused. */
function refuseFirstTry(queue: PlacementQueue, content: string): { readonly at: number; readonly comeBackIn: number; } {
    const decisions = queue.enqueueRequest(attemptOf(content, `${content}-1`), 200);
    let now = 200;
    while (refused(decisions).length === 0 && now < 200 + timeoutMilliseconds) {
        now += 25;
        decisions.push(...queue.review(now));
    }
    const [refusal] = decisions.filter(decision => decision.kind === "refused");
    return { at: now, comeBackIn: (refusal as Extract<PlacementDecision, { kind: "refused"; }>).comeBackIn };
}

describe("callers that come back after a refusal", () => {
    // Guards against callers that are late in any case taking the room of others that could still be in time.
    it("let those go first that can still be in time", () => {
        const queue = fullQueue();
        const { at } = refuseFirstTry(queue, "late");
        queue.enqueueRequest(attemptOf("late", "late-2"), at + 100);
        queue.enqueueRequest(attemptOf("new", "new-1"), at + 200);
        expect(placed(queue.release("run-0", {}, at + 300))).to.deep.equal(["new-1"]);
        expect(placed(queue.release("run-1", {}, at + 400))).to.deep.equal(["late-2"]);
    });

    // Guards against taking another caller, who sends the same content later, for the one that came back.
    it("are recognised once for each refusal", () => {
        const queue = fullQueue();
        const { at } = refuseFirstTry(queue, "twice");
        queue.enqueueRequest(attemptOf("twice", "twice-2"), at + 100);
        queue.enqueueRequest(attemptOf("twice", "another-caller"), at + 200);
        expect(placed(queue.release("run-0", {}, at + 300))).to.deep.equal(["another-caller"]);
    });

    // Guards against telling the callers that a burst refuses to come back into the same burst, all at once.
    it("are told to return when there will be room, not all at once", () => {
        const queue = fullQueue();
        const returns: number[] = [];
        for (let number = 0; number < 40; number++) {
            const demand = { ...attemptOf(`content-${number}`, `attempt-${number}`), finishWithin: 14_000 };
            for (const decision of queue.enqueueRequest(demand, 200)) {
                if (decision.kind === "refused") {
                    returns.push(decision.comeBackIn);
                }
            }
        }
        expect(returns.length).to.be.greaterThan(20);
        expect(Math.max(...returns)).to.be.at.most(14_000 / 3);
        const inAnyHalfSecond = returns.map(first =>
            returns.filter(other => other >= first && other < first + 500).length
        );
        // The backlog lasts longer than they may be told to wait: an even spread over the later half of that time.
        const evenly = returns.length * 500 / (14_000 / 3 / 2);
        expect(Math.max(...inAnyHalfSecond)).to.be.at.most(Math.ceil(evenly) + 1);
    });
});
