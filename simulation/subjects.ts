import { agreementProperty } from "./agreement/runs.js";
import { type FaultCounts, FaultRun } from "./control/faultRun.js";
import { declarationProperty, handoverProperty } from "./orders/runs.js";
import { requestProperty } from "./requests/runs.js";
import { schedulingProperty } from "./scheduling/runs.js";
import { propertyRuns, PropertySubject, Subject, type Tally } from "./subject.js";
import { lostQuorumProperty, randomFaultsProperty } from "./view/runs.js";

const faultRunMilliseconds = 10_000;

/** Control daemons on real disks and sockets. The seed determines the order of the faults, but not their timing. */
class ControlSubject extends Subject {
    override readonly name = "control";

    override async runBatch(seed: number, tally: Tally): Promise<void> {
        const { steps, ...counts } = await FaultRun.execute(seed, faultRunMilliseconds);
        tally.addRun(steps);
        for (const name of Object.keys(counts) as (keyof Omit<FaultCounts, "steps">)[]) {
            tally.addCount(name, counts[name]);
        }
    }
}

/** All subjects of random runs. */
export const subjects: readonly Subject[] = [
    PropertySubject.create("agreement", tally => [propertyRuns(agreementProperty(tally), 20)]),
    PropertySubject.create(
        "view",
        tally => [propertyRuns(randomFaultsProperty(tally), 10), propertyRuns(lostQuorumProperty(tally), 50)],
    ),
    PropertySubject.create(
        "orders",
        tally => [propertyRuns(declarationProperty(tally), 20), propertyRuns(handoverProperty(tally), 20)],
    ),
    PropertySubject.create("requests", tally => [propertyRuns(requestProperty(tally), 50)]),
    PropertySubject.create("scheduling", tally => [propertyRuns(schedulingProperty(tally), 50)]),
    new ControlSubject(),
];
