import { expect } from "chai";
import { type Crash, type CrashRecord, maxRecordedCrashes, quarantineRulesSchema } from "../../../protocol/index.js";
import { Quarantine } from "../quarantine.js";

const early = (server: string, age = 0): Crash => ({ server, phase: "early", age });
const late = (server: string, age = 0): Crash => ({ server, phase: "late", age });
const whole = (server: string, age = 0): Crash => ({ server, phase: "whole", age });
const recordOf = (digest: string, ...crashes: Crash[]): CrashRecord => ({ digest, crashes });
const minute = 60_000;
const rules = quarantineRulesSchema.parse({});

describe("the quarantine", () => {
    let quarantine: Quarantine;

    beforeEach(() => {
        quarantine = Quarantine.create(rules);
    });

    function isQuarantined(digest: string, now = 0): boolean {
        return quarantine.currentStatus(digest, now) !== undefined;
    }

    it("quarantines a request after two crashes before the first part of a response, three of an unstreamed one, five late ones", () => {
        quarantine.merge([recordOf("a", early("s1")), recordOf("b", whole("s2"), whole("s3"))], 0);
        expect([isQuarantined("a"), isQuarantined("b")]).to.deep.equal([false, false]);
        quarantine.merge([recordOf("a", early("s4")), recordOf("b", whole("s5"))], 0);
        expect([isQuarantined("a"), isQuarantined("b"), isQuarantined("c")]).to.deep.equal([true, true, false]);
        quarantine.merge([recordOf("c", late("t1"), late("t2"), late("t3"), late("t4"))], 0);
        expect(isQuarantined("c")).to.equal(false);
        quarantine.merge(
            [recordOf("c", late("t5")), recordOf("d", early("t1"), late("t2"), late("t3"), late("t4"))],
            0,
        );
        expect([isQuarantined("c"), isQuarantined("d")]).to.deep.equal([true, true]);
    });

    it("counts each backend server once, however often and by whichever daemon it is reported", () => {
        quarantine.merge([recordOf("a", early("s1"))], 0);
        expect(quarantine.merge([recordOf("a", early("s1", 50))], 90)).to.deep.equal([]);
        expect(isQuarantined("a")).to.equal(false);
    });

    it("returns the crashes that count against a request, and the time that is left", () => {
        quarantine.merge([recordOf("a", early("s1", 500), early("s2", 200))], 1_000);
        expect(quarantine.currentStatus("a", 1_300)).to.deep.equal({
            left: 10 * minute - 500,
            crashes: [early("s1", 800), early("s2", 500)],
        });
    });

    it("releases a request after ten minutes, and quarantines it longer with each further crash", () => {
        quarantine.merge([recordOf("a", whole("s1"), whole("s2"), whole("s3"))], 0);
        expect([isQuarantined("a", 9 * minute), isQuarantined("a", 11 * minute)]).to.deep.equal([true, false]);
        quarantine.merge([recordOf("a", whole("s4"))], 11 * minute);
        expect([isQuarantined("a", 50 * minute), isQuarantined("a", 52 * minute)]).to.deep.equal([true, false]);
    });

    it("releases a request with five late crashes after ten minutes as well", () => {
        quarantine.merge([recordOf("a", late("s1"), late("s2"), late("s3"), late("s4"), late("s5"))], 0);
        expect([isQuarantined("a", 9 * minute), isQuarantined("a", 11 * minute)]).to.deep.equal([true, false]);
    });

    it("ignores crashes from before an answer, and counts those after it", () => {
        quarantine.merge([recordOf("a", early("s1"), early("s2"))], 0);
        quarantine.merge([{ digest: "a", crashes: [], clearedAge: 0 }], 5_000);
        expect([isQuarantined("a", 5_000), quarantine.isSuspected("a")]).to.deep.equal([false, false]);
        // A late report of an old crash changes nothing.
        quarantine.merge([recordOf("a", early("s1", 6_000), early("s3", 0))], 6_000);
        expect([isQuarantined("a", 6_000), quarantine.isSuspected("a")]).to.deep.equal([false, true]);
    });

    it("attributes a crash to the request that is quarantined for it, not to those that had run there for a while", () => {
        quarantine.merge([recordOf("hit", whole("s1"), whole("s2")), recordOf("deadly", early("s1"), early("s2"))], 0);
        quarantine.merge([recordOf("hit", whole("s3"))], 0);
        expect([isQuarantined("hit"), isQuarantined("deadly")]).to.deep.equal([false, true]);
    });

    it("shares a request's record from the second crash on, and stops once all copies agree", () => {
        const other = Quarantine.create(rules);
        quarantine.merge([recordOf("a", early("s1")), recordOf("b", early("s1"))], 0);
        expect([quarantine.latestChange(), quarantine.changedAfter(0, 0)]).to.deep.equal([0, []]);
        quarantine.merge([recordOf("a", early("s2"))], 10);
        const shared = quarantine.changedAfter(0, 20);
        expect(shared).to.deep.equal([recordOf("a", early("s1", 20), early("s2", 10))]);
        expect(other.merge(shared, 1_000)).to.have.length(1);
        expect(quarantine.merge(other.changedAfter(0, 1_040), 60)).to.deep.equal([]);
        quarantine.merge([{ digest: "a", crashes: [], clearedAge: 0 }], 5_000);
        expect(other.merge(quarantine.changedAfter(1, 5_010), 6_000)).to.have.length(1);
        expect(quarantine.merge(other.changedAfter(0, 6_300), 5_400)).to.deep.equal([]);
    });

    it("follows its rules, and shares a single crash if one is enough", () => {
        quarantine = Quarantine.create({ ...rules, crashes: 1, earlyCrashes: 1, lateCrashes: 1, firstHold: 1_000 });
        quarantine.merge([recordOf("a", late("s1"))], 0);
        expect([isQuarantined("a", 900), isQuarantined("a", 1_100), quarantine.latestChange()]).to.deep.equal([
            true,
            false,
            1,
        ]);
    });

    it("limits the crashes per request and the number of requests", () => {
        const many = Array.from({ length: 40 }, (_, index) => early(`s${index}`));
        many.forEach(crash => quarantine.merge([recordOf("a", crash)], 0));
        expect(quarantine.currentStatus("a", 0)?.crashes).to.have.length(maxRecordedCrashes);
        for (let index = 0; index < 10_000; index++) {
            quarantine.merge([recordOf(`new${index}`, early("s"))], 0);
        }
        expect(quarantine.all(0).length).to.be.lessThan(5_000);
    });

    it("removes expired records", () => {
        quarantine.merge([recordOf("a", early("s1")), recordOf("b", early("s1"), early("s2"))], 0);
        quarantine.sweep(11 * minute);
        expect(quarantine.all(0).map(({ digest }) => digest)).to.deep.equal(["b"]);
        quarantine.sweep(21 * minute);
        expect(quarantine.all(0)).to.deep.equal([]);
    });
});
