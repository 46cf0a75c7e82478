import { expect } from "chai";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import * as path from "node:path";
import { bundledDay } from "../../places/day.js";
import { differenceOf } from "../difference.js";
import { type Experiment, playExperiment } from "../experiment.js";
import { InlinePlayer, ThreadPlayer } from "../player.js";
import { reportPage } from "../report.js";
import { tableOf } from "../table.js";
import { readVariants, unchanged } from "../variant.js";

describe("the difference of two variants", () => {
    it("is taken pair by pair: seeds that differ widely hide no small gain", () => {
        const before = [0.2, 0.5, 0.9, 0.4, 0.7, 0.3];
        const after = before.map((value, position) => value + 0.01 + 0.001 * (position % 2));
        const { mean, interval, isSeen } = differenceOf(before, after);
        expect(mean).to.be.closeTo(0.0105, 1e-9);
        expect(interval![0]).to.be.within(0.01, 0.0105);
        expect(isSeen).to.equal(true);
    });

    it("isn't seen where its sign isn't sure, nor with too few pairs", () => {
        expect(differenceOf([0, 0, 0, 0], [0.1, -0.1, 0.12, -0.08]).isSeen).to.equal(false);
        expect(differenceOf([0, 0], [1, 1])).to.deep.equal({ mean: 1, interval: undefined, isSeen: false });
    });

    it("is refused where figures don't come in pairs", () => {
        expect(() => differenceOf([1], [1, 2])).to.throw("as many figures");
    });
});

describe("an experiment", () => {
    const day = bundledDay("hanbit");
    const experiment: Experiment = {
        days: [{ name: "hanbit", day: { ...day, workload: { ...day.workload, length: 8_000 } } }],
        variants: [unchanged, { name: "half of the memory", tuning: { fill: 0.5 } }],
        seeds: [1, 2, 3, 4],
    };

    it("finds a change for the worse, and none where nothing was changed", async () => {
        const same = { ...experiment, variants: [unchanged, { ...unchanged, name: "again" }, experiment.variants[1]!] };
        const worth = (await playExperiment(same, InlinePlayer.create())).filter(({ measure }) => measure === "worth");
        expect(worth.map(({ difference }) => difference?.isSeen)).to.deep.equal([undefined, false, true]);
        expect(worth[2]!.difference!.mean).to.be.below(-0.05);
        expect(tableOf(worth, "worth")[1]).to.match(/again .* no difference seen$/);
    });

    it("gives the same in several threads as in one", async () => {
        let played = 0;
        const inThreads = await playExperiment(experiment, ThreadPlayer.create(2), () => {
            played += 1;
        });
        expect(inThreads).to.deep.equal(await playExperiment(experiment, InlinePlayer.create()));
        expect(played).to.equal(8);
    });
});

describe("the page of an experiment", () => {
    const difference = differenceOf([0.1, 0.2, 0.3, 0.4], [0.2, 0.3, 0.4, 0.5]);
    const common = { day: "a <day>", measure: "worth", mean: 0.35 } as const;

    it("shows a plot and a table, holds all that it needs, and takes names as text", async () => {
        const page = await reportPage([
            { ...common, variant: "before", difference: undefined },
            { ...common, variant: "after & more", difference },
        ], [1, 2, 3, 4]);
        expect(page).to.contain("<svg").and.to.contain("difference in worth");
        expect(page).to.contain("a &lt;day&gt;").and.to.contain("after &amp; more").and.not.to.contain("<day>");
        expect(page).to.contain("+0.100 (+0.100 to +0.100)");
        expect(page).not.to.match(/(src|href)="http/);
    });

    it("has no plot where there is nothing to compare", async () => {
        expect(await reportPage([{ ...common, variant: "before", difference: undefined }], [1])).not.to.contain("<svg");
    });
});

describe("files of variants", () => {
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

    it("are read with what is left out unchanged", () => {
        const variants = read(JSON.stringify({ variants: [{ name: "a" }, { name: "b", tuning: { fill: 1 } }] }));
        expect(variants.unsafeCoerce()).to.deep.equal([{ name: "a", tuning: {} }, { name: "b", tuning: { fill: 1 } }]);
    });

    it("are refused with the place of what is wrong", () => {
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
