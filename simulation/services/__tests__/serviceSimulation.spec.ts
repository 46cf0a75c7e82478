import { expect } from "chai";
import { serviceDays } from "../day.js";
import { type AdmissionName, type ServiceOutcome, simulateService } from "../serviceSimulation.js";

const seed = 1;

function play(day: string, admission: AdmissionName): ServiceOutcome {
    return simulateService(serviceDays[day]!, admission, seed);
}

describe("the admission of requests to plain services on emulated days", () => {
    // Guards against servers whose queues stay full in a burst, so that nearly every answer is late.
    it("answers far more requests of a burst beyond the servers' capacity in time", () => {
        const open = play("burst of 3.3", "open");
        const load = play("burst of 3.3", "load");
        expect(load.inTimeInBurst).to.be.greaterThan(2 * open.inTimeInBurst);
        expect(load.inTime).to.be.greaterThan(open.inTime + 0.05);
        expect(load.refused).to.be.lessThan(open.refused + 0.05);
    });

    for (const day of ["calm", "burst of 2.2", "slow server"]) {
        it(`refuses nothing while no server is full: ${day}`, () => {
            expect(play(day, "load")).to.deep.equal(play(day, "open"));
        });
    }
});
