import { expect } from "chai";
import { LoadAdmission } from "../serviceAdmission.js";

const target = 200;
const attempts = Array.from({ length: 1_000 }, (_, number) => `attempt-${number}`);

describe("the admission by load", () => {
    const refusals = (admission: LoadAdmission, now: number): number[] => {
        return attempts.flatMap(attempt => admission.refusal("s", attempt, now) ?? []);
    };

    it("refuses nothing because of slow calls alone", () => {
        const admission = LoadAdmission.create();
        for (let number = 0; number < 50; number++) {
            admission.recordAnswer("s", 5 * target, target, 0);
        }
        expect(refusals(admission, 0)).to.deep.equal([]);
    });

    it("refuses a growing fraction of one service's requests while its servers are full, up to a limit", () => {
        const admission = LoadAdmission.create();
        admission.recordFull("s", 0);
        expect(refusals(admission, 0)).to.deep.equal([]);
        admission.recordFull("s", 0);
        const afterTwo = refusals(admission, 0).length;
        expect(afterTwo).to.be.within(150, 250);
        admission.recordAnswer("s", target, target, 100);
        expect(refusals(admission, 100).length).to.be.greaterThan(afterTwo);
        for (let number = 0; number < 50; number++) {
            admission.recordFull("s", 200);
        }
        expect(refusals(admission, 200).length).to.be.within(750, 850);
        expect(admission.refusal("other", attempts[0]!, 200)).to.equal(undefined);
    });

    it("admits all again as calls are answered in time, or no call ends", () => {
        const answered = LoadAdmission.create();
        const silent = LoadAdmission.create();
        [answered, silent, answered, silent].forEach(admission => admission.recordFull("s", 0));
        for (let number = 0; number < 11; number++) {
            answered.recordAnswer("s", 40, target, 0);
        }
        expect(refusals(answered, 0)).to.deep.equal([]);
        expect(refusals(silent, 60_000)).to.deep.equal([]);
    });

    // Guards against refused callers who come back together.
    it("spreads the times at which refused callers come back", () => {
        const admission = LoadAdmission.create();
        admission.recordFull("s", 0);
        admission.recordFull("s", 0);
        const times = refusals(admission, 0);
        expect(Math.min(...times)).to.be.within(350, 400);
        expect(Math.max(...times)).to.be.within(650, 700);
    });
});
