import { expect } from "chai";
import fc from "fast-check";
import { type Crash, type CrashRecord, quarantineRulesSchema } from "../../../protocol/index.js";
import { promptPartName } from "../promptPart.js";
import { Quarantine } from "../quarantine.js";

const rules = quarantineRulesSchema.parse({});
const part = promptPartName("bad0");
const other = promptPartName("5c1e");

const crash = (server: string, request: string, age: number, phase: Crash["phase"] = "early"): Crash => ({
    server,
    phase,
    age,
    request,
});
const crashes = (digest: string, ...all: Crash[]): CrashRecord => ({ digest, crashes: all });
const begun = (digest: string, ages: readonly number[]): CrashRecord => ({
    digest,
    crashes: [],
    begun: ages.map(age => ({ attempt: `a${age}`, age })),
});
const numbers = (count: number): number[] => Array.from({ length: count }, (_, index) => index);

describe("parts of prompts in the quarantine", () => {
    let quarantine: Quarantine;

    beforeEach(() => {
        quarantine = Quarantine.create(rules);
    });

    const isQuarantined = (digest = part, now = 10_000): boolean => quarantine.currentStatus(digest, now) !== undefined;

    it("are quarantined after crashes under two requests, and aren't after two under the same one", () => {
        quarantine.merge([crashes(part, crash("s1", "r1", 900), crash("s2", "r1", 600))], 10_000);
        expect(isQuarantined()).to.equal(false);
        quarantine.merge([crashes(part, crash("s3", "r2", 100))], 10_000);
        expect(isQuarantined()).to.equal(true);
        expect(isQuarantined(part, 10_000 + rules.firstHold)).to.equal(false);
    });

    it("of which many answers had begun are quarantined after as many crashes in a row as outweigh these", () => {
        quarantine.merge([begun(part, numbers(12).map(index => 8_000 + index))], 10_000);
        const held = numbers(6).map(index => {
            quarantine.merge([crashes(part, crash(`s${index}`, `r${index}`, 5_000 - 500 * index))], 10_000);
            return isQuarantined();
        });
        expect(held).to.deep.equal([false, false, false, false, true, true]);
    });

    it("are let go by answers that begin on them", () => {
        quarantine.merge([crashes(part, crash("s1", "r1", 5_000), crash("s2", "r2", 4_000))], 10_000);
        quarantine.merge([begun(part, numbers(8).map(index => 3_000 - index))], 10_000);
        expect(isQuarantined()).to.equal(false);
    });

    it("that many prompts share aren't quarantined for a few requests that crash engines by themselves", () => {
        const isQuarantinedWith = (share: number): boolean => {
            quarantine = Quarantine.create(rules);
            const all = numbers(4).map(index => ({ ...crash(`s${index}`, `r${index}`, 5_000 - 900 * index), share }));
            quarantine.merge([crashes(part, ...all)], 10_000);
            return isQuarantined();
        };
        expect([1, 0.33, 0.15, 0.02].map(isQuarantinedWith)).to.deep.equal([false, false, true, true]);
    });

    it("are named as the cause of their crashes, instead of requests and other parts that were hit", () => {
        const all = [crash("s1", "r1", 900), crash("s2", "r2", 600), crash("s3", "r3", 300)];
        quarantine.merge([crashes(part, ...all), crashes(other, ...all), crashes("hit", ...all)], 10_000);
        expect([part, other, "hit"].map(digest => isQuarantined(digest))).to.deep.equal([true, false, false]);
    });

    it("are released by an operator", () => {
        quarantine.merge([crashes(part, crash("s1", "r1", 900), crash("s2", "r2", 600))], 10_000);
        quarantine.merge([{ digest: part, crashes: [], clearedAge: 0 }], 10_000);
        expect([isQuarantined(), quarantine.isSuspected(part)]).to.deep.equal([false, false]);
    });

    it("are shared from the first crash on unless answers speak for them", () => {
        quarantine.merge([{ ...begun(other, numbers(8)), crashes: [crash("s1", "r1", 0)] }], 10_000);
        expect(quarantine.changedAfter(0, 10_000)).to.deep.equal([]);
        quarantine.merge([crashes(part, crash("s1", "r1", 0))], 10_000);
        expect(quarantine.changedAfter(0, 10_000).map(({ digest }) => digest)).to.deep.equal([part]);
    });

    it("are judged alike by daemons that hear of everything in another order, several times", () => {
        const event = fc.record({ age: fc.integer({ min: 0, max: 9_000 }), isCrash: fc.boolean() });
        fc.assert(
            fc.property(fc.array(event, { maxLength: 18 }), fc.infiniteStream(fc.nat()), (events, order) => {
                const records = events.map(({ age, isCrash }, index) =>
                    isCrash ? crashes(part, crash(`s${index}`, `r${index}`, age)) : begun(part, [age])
                );
                const shuffled = [...records, ...records].map(record => ({ record, rank: order.next().value }))
                    .sort((one, two) => one.rank - two.rank).map(({ record }) => record);
                const copy = Quarantine.create(rules);
                quarantine = Quarantine.create(rules);
                quarantine.merge(records, 10_000);
                copy.merge(shuffled, 10_000);
                expect(copy.currentStatus(part, 10_000)?.left).to.equal(quarantine.currentStatus(part, 10_000)?.left);
            }),
            { seed: 7 },
        );
    });

    it("keep a bounded record, whatever is reported", () => {
        quarantine.merge(numbers(100).map(index => crashes(part, crash(`s${index}`, `r${index}`, index * 50))), 10_000);
        quarantine.merge([begun(part, numbers(100))], 10_000);
        const record = quarantine.record(part, 10_000)!;
        expect([record.crashes.length, record.begun?.length]).to.deep.equal([8, 12]);
    });
});
