import { expect } from "chai";
import { PlacementQueue } from "../placementQueue.js";
import { enginesOfVersion, rule, typicalPlacementRequest } from "./fakes.js";

describe("placements while engines of several software versions serve", () => {
    function createMixedQueue(...versions: (readonly [version: string, prefill: number, decode: number])[]) {
        const queue = PlacementQueue.create({ fill: 1, share: 1 });
        queue.setEngines(versions.flatMap(version => enginesOfVersion(...version)), rule);
        return queue;
    }

    const resumed = (attempt: string, version: string, avoid: string[] = []) => {
        return typicalPlacementRequest(attempt, { resumed: true, version, avoid });
    };

    // Guards against a KV cache that is decoded by another version than the one that wrote it.
    it("take both engines of one version, and the decode engine alone where that has none for prefill", () => {
        const queue = createMixedQueue(["v1", 1, 3], ["v2", 0, 3]);
        expect(queue.enqueueRequest(typicalPlacementRequest("a"), 0)[0])
            .to.include({ kind: "placed", prefill: "v1-prefill-0", decode: "v1-decode-0" });
        expect(queue.enqueueRequest(typicalPlacementRequest("b", { version: "v2" }), 0)[0])
            .to.include({ kind: "placed", prefill: undefined, decode: "v2-decode-0" });
    });

    it("take only engines of the version that a resumed stream needs, the only one left even if it is to be avoided", () => {
        const queue = createMixedQueue(["v1", 1, 1], ["v2", 2, 6]);
        const [decision] = queue.enqueueRequest(resumed("a", "v1", ["v1-decode-0"]), 0);
        expect(decision).to.include({ kind: "placed", prefill: "v1-prefill-0", decode: "v1-decode-0" });
    });

    // Guards against callers that wait until their timeout for a version which isn't served any more.
    it("are refused at once if no engine of the needed version is left", () => {
        const queue = createMixedQueue(["v2", 2, 6]);
        expect(queue.enqueueRequest(resumed("a", "v1"), 0)[0]).to.include({ kind: "refused", versionGone: true });
    });

    it("wait for room at the needed version, ahead of new requests", () => {
        const queue = createMixedQueue(["v1", 1, 1], ["v2", 2, 1]);
        const firstNew = Array.from({ length: 30 }, (_, number) => typicalPlacementRequest(`a${number}`));
        const placedRuns = firstNew.flatMap(request => queue.enqueueRequest(request, 0)).filter(({ kind }) =>
            kind === "placed"
        );
        expect(queue.enqueueRequest(resumed("resumed", "v1"), 1)).to.deep.equal([]);
        const atFirst = placedRuns.find(decision => decision.kind === "placed" && decision.decode === "v1-decode-0")!;
        const next = queue.release(atFirst.attempt, {}, 2);
        expect(next.map(({ attempt }) => attempt)).to.include("resumed");
    });
});
