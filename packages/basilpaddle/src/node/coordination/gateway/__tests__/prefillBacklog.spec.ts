import { expect } from "chai";
import { type EnginePair, EnginePool } from "../enginePool.js";
import { engines, rule, typicalPlacementRequest } from "./fakes.js";

/** Places requests at one moment, as many as the pool takes of them. */
function placeFlood(pool: EnginePool, count: number): EnginePair[] {
    const pairs: EnginePair[] = [];
    for (let number = 0; number < count; number++) {
        const request = typicalPlacementRequest(`flood-${number}`);
        const pair = pool.bestPair(request, 0, new Set());
        if (pair !== undefined) {
            pool.allocate(pair, request, 0);
            pairs.push(pair);
        }
    }
    return pairs;
}

function createPool(prefill: number, decode: number, isBounded: boolean): EnginePool {
    const pool = EnginePool.create({ fill: 1, share: 1 });
    pool.setEngines(engines(prefill, decode), rule);
    pool.boundPrefillBacklog(isBounded);
    return pool;
}

// Guards against urgent requests that miss their target behind prompts of less urgent ones in the engines' own queues.
describe("prompts of a flood of 100 requests at two prefill engines", () => {
    it("wait to be placed, so that the next prompt is read soon", () => {
        const pool = createPool(2, 10, true);
        const pairs = placeFlood(pool, 100);
        expect(pairs.length).to.be.below(80);
        expect(Math.max(...pairs.map(({ prefillTime }) => prefillTime))).to.be.below(400);
        pairs.slice(0, 8).forEach((pair, number) => pool.release(pair, `flood-${number}`, 200));
        expect(pool.bestPair(typicalPlacementRequest("urgent"), 200, new Set())?.prefillTime).to.be.below(400);
    });

    it("fill the engines' queues if the backlog isn't bounded", () => {
        const pairs = placeFlood(createPool(2, 10, false), 100);
        expect(Math.max(...pairs.map(({ prefillTime }) => prefillTime))).to.be.above(400);
    });

    it("are read by decode engines, one at each, while the prefill engines are busy", () => {
        const atDecode = placeFlood(createPool(2, 10, true), 100).filter(({ prefill }) => prefill === undefined);
        expect(new Set(atDecode.map(({ decode }) => decode)).size).to.equal(atDecode.length);
        expect(atDecode.length).to.be.above(0);
    });

    it("may queue at decode engines if no prefill engine is ready", () => {
        expect(placeFlood(createPool(0, 2, true), 6)).to.have.length(6);
    });
});
