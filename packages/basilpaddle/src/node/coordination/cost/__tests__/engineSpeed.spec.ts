import { expect } from "chai";
import { EngineSpeed, PoolSpeeds } from "../index.js";

/** Milliseconds of an event at an engine of speed 1 with the given number of runs. */
function eventTimeAt(runs: number): number {
    return 42 * (1 + 0.015 * runs);
}

/** Reports the runs of every engine once a second, spread over the second, as gateways do. */
function reportPeriod(
    speeds: PoolSpeeds,
    engines: ReadonlyMap<string, EngineSpeed>,
    speedOf: (engine: string, at: number) => number,
    [from, to]: readonly [number, number],
    runsOf: (engine: string) => number = () => 6,
): void {
    for (let at = from; at < to; at += 50) {
        [...engines].forEach(([id, speed], position) => {
            const runs = runsOf(id);
            for (let run = 0; run < runs; run++) {
                if ((at / 50 + run * 7 + position) % 20 === 0) {
                    // A report covers the last second, in part before a change of the speed.
                    const time = [0, 1, 2, 3].reduce((sum, quarter) => {
                        return sum + eventTimeAt(runs) / speedOf(id, at - 125 - quarter * 250) / 4;
                    }, 0);
                    const noise = 1 + 0.2 * Math.sin(at * 0.7 + run * 13 + position);
                    speeds.recordWriting(id, speed, { events: 20, milliseconds: 20 * time * noise }, runs, at);
                }
            }
        });
    }
}

function engineSpeeds(...ids: string[]): Map<string, EngineSpeed> {
    return new Map(ids.map(id => [id, EngineSpeed.create()]));
}

describe("learned engine speeds", () => {
    it("are known within two seconds if engines of 0.7, 0.7 and 1.7 are unknown at the start", () => {
        const speeds = PoolSpeeds.create();
        const actual: Record<string, number> = { a: 0.7, b: 0.7, c: 1.7 };
        expect(speeds.relative(0)).to.include({ isUneven: false, unknownSpeed: 1, meanSpeed: 1 });
        reportPeriod(speeds, engineSpeeds("a", "b", "c"), engine => actual[engine]!, [1_000, 2_000], engine => {
            return engine === "c" ? 12 : 5;
        });
        const relative = speeds.relative(2_000);
        expect(relative.isUneven).to.equal(true);
        expect(relative.speeds.get("c")! / relative.speeds.get("a")!).to.be.closeTo(1.7 / 0.7, 0.4);
    });

    it("detect within two seconds that one engine drops to a third for 5 s, and its recovery", () => {
        const speeds = PoolSpeeds.create();
        const engines = engineSpeeds("a", "b", "c", "d");
        const speedOf = (engine: string, at: number): number =>
            engine === "d" && at >= 10_000 && at < 15_000 ? 1 / 3 : 1;
        reportPeriod(speeds, engines, speedOf, [1_000, 10_000]);
        expect(speeds.relative(10_000).isUneven).to.equal(false);
        reportPeriod(speeds, engines, speedOf, [10_000, 12_000]);
        expect(speeds.relative(12_000).speeds.get("d")).to.be.below(0.5);
        expect(speeds.relative(12_000).isUneven).to.equal(true);
        reportPeriod(speeds, engines, speedOf, [12_000, 17_000]);
        expect(speeds.relative(17_000).isUneven).to.equal(false);
    });

    // Guards against taking noise for a slow engine: a preempted run or a lost packet delays one stream, not its engine.
    it("ignore one run in four that takes five times as long", () => {
        const speeds = PoolSpeeds.create();
        const engines = engineSpeeds("a", "b", "c");
        for (let at = 0; at < 60_000; at += 250) {
            [...engines].forEach(([id, speed], position) => {
                const times = (at / 250 + position) % 4 === 0 ? 5 : 1;
                speeds.recordWriting(id, speed, { events: 20, milliseconds: 20 * 45 * times }, 4, at);
            });
            expect(speeds.relative(at).isUneven, `at ${at}`).to.equal(false);
        }
    });

    // Guards against taking a loaded engine for a slow one: the time per event grows with the number of runs.
    it("are equal for equal engines of which one has ten times the runs", () => {
        const speeds = PoolSpeeds.create();
        const engines = engineSpeeds("a", "b");
        reportPeriod(speeds, engines, () => 1, [0, 20_000], engine => engine === "a" ? 3 : 30);
        const relative = speeds.relative(20_000);
        expect(relative.isUneven).to.equal(false);
        expect(relative.speeds.get("b")! / relative.speeds.get("a")!).to.be.within(0.8, 1.25);
    });

    it("stay in effect between the two thresholds, so that placement doesn't alternate", () => {
        const speeds = PoolSpeeds.create();
        const engines = engineSpeeds("a", "b");
        const record = (ratio: number, at: number): void => {
            for (let report = 0; report < 4; report++) {
                speeds.recordWriting("a", engines.get("a")!, { events: 20, milliseconds: 900 }, 1, at);
                speeds.recordWriting("b", engines.get("b")!, { events: 20, milliseconds: 900 * ratio }, 1, at);
            }
        };
        const unevenAfter = [1.4, 1.6, 1.4, 1.2, 1.4].map((ratio, step) => {
            record(ratio, step * 2_000);
            return speeds.relative(step * 2_000).isUneven;
        });
        expect(unevenAfter).to.deep.equal([false, true, true, false, false]);
    });

    it("begin at the median for an engine that is new or restarted, or of which nothing was observed for long", () => {
        const speeds = PoolSpeeds.create();
        reportPeriod(speeds, engineSpeeds("a", "b@1", "c"), engine => engine === "b@1" ? 0.2 : 1, [0, 3_000]);
        speeds.retain(new Set(["a", "b@2", "c"]));
        const relative = speeds.relative(3_000);
        expect([...relative.speeds.keys()]).to.have.members(["a", "c"]);
        expect(relative).to.include({ isUneven: false });
        expect(relative.unknownSpeed).to.be.closeTo(1, 0.05);
        expect(speeds.relative(60_000).speeds.size).to.equal(0);
    });

    // Guards against reports of a faulty or foreign gateway: NaN in a mean would disable the placement of all runs.
    it("ignore invalid values", () => {
        const speeds = PoolSpeeds.create();
        const speed = EngineSpeed.create();
        const invalid = [0, -1, Number.NaN, Number.POSITIVE_INFINITY, 1e300];
        for (const value of invalid) {
            speeds.recordWriting("a", speed, { events: value, milliseconds: 900 }, 1, 0);
            speeds.recordWriting("a", speed, { events: 20, milliseconds: value }, 1, 0);
        }
        speeds.recordWriting("a", speed, { events: 1, milliseconds: 1_000 }, 1, 0);
        expect(speeds.relative(0).speeds.size).to.equal(0);
    });
});
