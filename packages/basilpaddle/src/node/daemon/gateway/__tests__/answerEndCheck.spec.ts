import { expect } from "chai";
import { Readable } from "node:stream";
import { announced } from "../../../coordination/gateway/__tests__/fakes.js";
import { InstanceTable } from "../../../coordination/index.js";
import { AnswerLimits } from "../../backends/index.js";
import { AnswerEndCheck, type AnswerEndCheckOptions } from "../answerEndCheck.js";
import type { RoutedResult } from "../serverPaths.js";

const service = { name: "pool", healthPath: "/health", connectionLimit: 10 };
const server = announced({ id: "i" });

function answer(instance: string): RoutedResult {
    return { status: 200, rawHeaders: [], headers: { instance }, body: Readable.from([]), framed: true };
}
const broken: RoutedResult = { kind: "broken", cause: "reset", wasReset: true, lostOnPath: false };

type Situation = { readonly reaches?: boolean; readonly replies?: readonly RoutedResult[]; };

/** Whether an answer may be cut, and how many questions were asked. */
async function check({ reaches = true, replies = [] }: Situation): Promise<[boolean, number]> {
    const instances = InstanceTable.create();
    instances.apply(server);
    let questions = 0;
    const ends = AnswerEndCheck.create({
        wire: {
            statusCheck: () => ({ method: "GET", path: "/health", headers: {} }),
            parseAnswer: (_status: number, { instance }: Readonly<Record<string, string>>) => ({ instance }),
        },
        paths: {
            stillReaches: () => Promise.resolve(reaches),
            call: ({ signal }: { readonly signal: AbortSignal; }) => {
                const reply = replies[questions];
                questions += 1;
                return reply ?? new Promise(resolve => signal.addEventListener("abort", () => resolve(broken)));
            },
        },
        instances,
        answers: AnswerLimits.createDefault(),
        gateways: () => 1,
    } as unknown as AnswerEndCheckOptions);
    return [await ends.mayBeCut({ server, service, via: undefined }), questions];
}

// Guards against the part of an answer without a length that looks whole, because its server has crashed and another incarnation
// listens at its address by the time the connection ends here.
describe("the check of an answer that ends with its connection", () => {
    it("takes it for cut if nothing listens at its server's address, or its relay is gone", async () => {
        expect(await check({ reaches: false })).to.deep.equal([true, 0]);
    });

    it("takes it for cut if another incarnation answers, or none", async () => {
        expect(await check({ replies: [answer("other")] })).to.deep.equal([true, 1]);
        expect(await check({ replies: [broken, answer("other")] })).to.deep.equal([true, 2]);
        expect(await check({ replies: [broken, broken] })).to.deep.equal([true, 2]);
    });

    it("takes it for whole if the same incarnation answers, or none in time", async () => {
        expect(await check({ replies: [answer("i")] })).to.deep.equal([false, 1]);
        expect(await check({})).to.deep.equal([false, 1]);
    });
});
