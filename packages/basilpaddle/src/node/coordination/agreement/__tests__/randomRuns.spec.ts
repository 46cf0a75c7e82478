import * as fc from "fast-check";
import { agreementProperty } from "../../../../../../../simulation/agreement/runs.js";

describe("the agreement protocol under random faults", () => {
    it("keeps its invariants, and the group recovers", () => {
        fc.assert(agreementProperty(), { seed: 20_261_202, numRuns: 60, endOnFailure: false });
    });
});
