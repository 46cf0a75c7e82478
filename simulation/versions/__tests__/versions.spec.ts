import { expect } from "chai";
import { dayOfSize, troubles } from "../day.js";
import { simulateVersions } from "../versionSimulation.js";
import { EstablishedOnly } from "../ways.js";

const seed = 3;
/** Share of the resumed streams that continue, compared with new ones that begin. */
const minShare = 0.9;
/** Troubles after which some streams aren't known to anybody that is reached. */
const losesRecords: ReadonlySet<string> = new Set(["gatewayCut", "allKilled"]);

describe("streams that callers resume at other gateways, emulated", () => {
    // Guards against streams with events of two versions, and against resumed streams that are refused without need.
    for (const trouble of troubles) {
        it(`continue at their version: ${trouble}`, async () => {
            const { mixed, resumed, continued } = await simulateVersions(dayOfSize(10, trouble), EstablishedOnly, seed);
            expect(mixed).to.equal(0);
            expect(resumed).to.be.above(20);
            expect(continued / resumed).to.be.at.least(losesRecords.has(trouble) ? minShare / 2 : minShare);
        });
    }
});
