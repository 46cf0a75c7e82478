import { expect } from "chai";
import { mkdtemp, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import * as path from "node:path";
import { createPlan } from "../plan.js";
import { regressions } from "../regressions.js";
import { runSoak, type SoakReport } from "../run.js";

const shortSeeds = [1, 2, 4];
const shortSeedsWithVersions = [3, 8];
const shortSeconds = 6;

/** Saves all logs of a run that violated an invariant, since the failure may not be reproducible. */
async function writeLogs({ seed, logs }: SoakReport): Promise<string> {
    const folder = await mkdtemp(path.join(tmpdir(), `soak-failed-${seed}-`));
    await Promise.all([...logs].map(([name, log]) => writeFile(path.join(folder, `${name}.log`), log)));
    return folder;
}

async function expectNoViolation(report: SoakReport): Promise<void> {
    const savedLogs = report.violations.length === 0 ? [] : [`logs: ${await writeLogs(report)}`];
    expect(report.violations, [...report.faults, ...savedLogs].join("\n")).to.deep.equal([]);
}

describe("the fault soak", function() {
    this.timeout(180_000);

    for (const seed of shortSeeds) {
        it(`keeps every invariant in a short run of seed ${seed}`, async () => {
            const report = await runSoak(createPlan(seed, { seconds: shortSeconds, versions: false }));
            await expectNoViolation(report);
            expect(report.ends["200"]).to.be.above(50);
        });
    }

    for (const seed of shortSeedsWithVersions) {
        it(`keeps every invariant in a short run of seed ${seed} with engines of several versions`, async () => {
            const report = await runSoak(createPlan(seed, { seconds: shortSeconds }));
            await expectNoViolation(report);
            expect(report.streams.resumed).to.be.above(5);
        });
    }

    it("keeps every invariant while poison requests crash engines and plain servers", async () => {
        const faults = [0.2, 0.8].map((pick, index) => {
            return { kind: "deadlyRequests", at: 500 + 900 * index, lasts: 500, pick } as const;
        });
        const report = await runSoak({ ...createPlan(1, { seconds: shortSeconds, versions: false }), faults });
        await expectNoViolation(report);
        expect([...report.logs.values()].filter(log => log.includes("a request is held back")).length).to.be.above(3);
    });

    it("keeps every invariant while engines crash under a part of prompts", async () => {
        const faults = [{ kind: "poisonPrompts", at: 500, lasts: 500, pick: 0.2 }] as const;
        const report = await runSoak({ ...createPlan(1, { seconds: shortSeconds, versions: false }), faults });
        await expectNoViolation(report);
        const holdsPart = (log: string): boolean => log.includes("a part of prompts is held back");
        expect([...report.logs.values()].filter(holdsPart).length).to.be.above(3);
    });

    // Guards against streams that are broken off since their gateway stood still while their engines went on.
    it("keeps every invariant while gateways stand still, one of them as it stops", async () => {
        const faults = [1_501, 1_800].map((lasts, index) => {
            return { kind: "standStill", at: 300 + 3_000 * index, lasts, pick: index * 0.9 } as const;
        });
        const report = await runSoak({ ...createPlan(4, { gateways: 3, directories: 3, versions: false }), faults });
        await expectNoViolation(report);
        expect(report.faults).to.have.length(3);
    });

    for (const { plan, cause } of regressions) {
        it(`keeps every invariant in the run of seed ${plan.seed}: ${cause}`, async () => {
            const report = await runSoak(plan);
            await expectNoViolation(report);
        });
    }
});
