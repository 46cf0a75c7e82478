import { expect } from "chai";
import { Caller, type CallerAnswer, type ModelCall } from "../harness/index.js";
import { call, type Rig } from "./rig.js";

/** Asserts that the answer is complete and is the one expected for this call. */
export function expectCompleteAnswer(answer: CallerAnswer, modelCall: ModelCall): void {
    expect(answer.error, JSON.stringify(answer.error)).to.equal(undefined);
    expect(answer.complete).to.equal(true);
    expect(answer.text).to.equal(Caller.expected(modelCall));
}

/** Load of long streams, spread over all entry daemons. */
export class StreamLoad {
    private readonly sent: Promise<{ readonly modelCall: ModelCall; readonly answer: CallerAnswer; }>[] = [];
    private open = 0;

    constructor(private readonly rig: Rig) {}

    /** Starts streams until the given number is open. */
    keepOpen(count: number): void {
        for (; this.open < count; this.open++) {
            const modelCall = call(`long ${this.sent.length}`, { stream: true, maxTokens: 100 });
            const answered = this.rig.caller(this.sent.length % 3).requestCompletionWithRetries(modelCall);
            this.sent.push(answered.then(answer => {
                this.open--;
                return { modelCall, answer };
            }));
        }
    }

    answers() {
        return Promise.all(this.sent);
    }
}
