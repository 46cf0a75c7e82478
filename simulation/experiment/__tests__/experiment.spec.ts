import { expect } from "chai";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import * as path from "node:path";
import { bundledDay } from "../../places/day.js";
import { differenceOf } from "../difference.js";
import { type Experiment, runExperiment } from "../experiment.js";
import { reportPage } from "../report.js";
import { tableOf } from "../table.js";
import { InlineRunner, ThreadRunner } from "../taskRunner.js";
import { readVariants, unchangedVariant } from "../variant.js";

describe("the difference of two variants", () => {
    it("is paired by seed, so that a large spread between seeds doesn't hide a small gain", () => {
        const before = [0.2, 0.5, 0.9, 0.4, 0.7, 0.3];
        const after = before.map((value, position) => value + 0.01 + 0.001 * (position % 2));
        const { mean, interval, isSeen } = differenceOf(before, after);
        expect(mean).to.be.closeTo(0.0105, 1e-9);
        expect(interval![0]).to.be.within(0.01, 0.0105);
        expect(isSeen).to.equal(true);
    });

    it("isn't significant if its sign is uncertain or there are too few pairs", () => {
        expect(differenceOf([0, 0, 0, 0], [0.1, -0.1, 0.12, -0.08]).isSeen).to.equal(false);
        expect(differenceOf([0, 0], [1, 1])).to.deep.equal({ mean: 1, interval: undefined, isSeen: false });
    });

    it("can't be computed from unpaired values", () => {
        expect(() => differenceOf([1], [1, 2])).to.throw("the same number of values");
    });
});

describe("an experiment", () => {
    const day = bundledDay("hanbit");
    const experiment: Experiment = {
        days: [{ name: "hanbit", day: { ...day, workload: { ...day.workload, length: 8_000 } } }],
        variants: [unchangedVariant, { name: "half of the memory", tuning: { fill: 0.5 } }],
        seeds: [1, 2, 3, 4],
    };

    it("detects a change for the worse, and none between identical variants", async () => {
        const same = {
            ...experiment,
            variants: [unchangedVariant, { ...unchangedVariant, name: "again" }, experiment.variants[1]!],
        };
        const worth = (await runExperiment(same, InlineRunner.create())).filter(({ measure }) => measure === "worth");
        expect(worth.map(({ difference }) => difference?.isSeen)).to.deep.equal([undefined, false, true]);
        expect(worth[2]!.difference!.mean).to.be.below(-0.05);
        expect(tableOf(worth, "worth")[1]).to.match(/again .* no difference seen$/);
    });

    it("has the same results with several threads as with one", async () => {
        let completedTasks = 0;
        const inThreads = await runExperiment(experiment, ThreadRunner.create(2), () => {
            completedTasks += 1;
        });
        expect(inThreads).to.deep.equal(await runExperiment(experiment, InlineRunner.create()));
        expect(completedTasks).to.equal(8);
    });
});

describe("the HTML report of an experiment", () => {
    const difference = differenceOf([0.1, 0.2, 0.3, 0.4], [0.2, 0.3, 0.4, 0.5]);
    const common = { day: "a <day>", measure: "worth", mean: 0.35 } as const;

    it("contains a plot and a table, is self-contained, and escapes names", async () => {
        const page = await reportPage([
            { ...common, variant: "before", difference: undefined },
            { ...common, variant: "after & more", difference },
        ], [1, 2, 3, 4]);
        expect(page).to.contain("<svg").and.to.contain("difference in worth");
        expect(page).to.contain("a &lt;day&gt;").and.to.contain("after &amp; more").and.not.to.contain("<day>");
        expect(page).to.contain("+0.100 (+0.100 to +0.100)");
        expect(page).not.to.match(/(src|href)="http/);
    });

    it("has no plot if there is nothing to compare", async () => {
        expect(await reportPage([{ ...common, variant: "before", difference: undefined }], [1])).not.to.contain("<svg");
    });
});

describe("variant files", () => {
    let folder: string;
    beforeEach(() => {
        folder = mkdtempSync(path.join(tmpdir(), "variants-"));
    });
    afterEach(() => rmSync(folder, { recursive: true }));

    function read(content: string): ReturnType<typeof readVariants> {
        const file = path.join(folder, "variants.json");
        writeFileSync(file, content);
        return readVariants(file);
    }

    it("keep the default tuning where they omit it", () => {
        const variants = read(JSON.stringify({ variants: [{ name: "a" }, { name: "b", tuning: { fill: 1 } }] }));
        expect(variants.unsafeCoerce()).to.deep.equal([{ name: "a", tuning: {} }, { name: "b", tuning: { fill: 1 } }]);
    });

    it("are rejected with the location of each error", () => {
        const places = (content: string): readonly string[] => {
            return read(content).swap().unsafeCoerce().map(({ place }) => place);
        };
        expect(places(JSON.stringify({ variants: [{ name: "a", tuning: { fill: -1 } }] }))).to.deep.equal([
            "variants.0.tuning.fill",
        ]);
        expect(places(JSON.stringify({ variants: [{ name: "a" }, { name: "a" }] }))).to.deep.equal(["variants"]);
        expect(places("{")).to.deep.equal([""]);
    });
});
