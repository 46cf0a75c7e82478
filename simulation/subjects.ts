import { agreementProperty } from "./agreement/runs.js";
import { type FaultCounts, FaultRun } from "./control/faultRun.js";
import { declarationRuns, handOverRuns } from "./orders/runs.js";
import { requestProperty } from "./requests/runs.js";
import { schedulingProperty } from "./scheduling/runs.js";
import { drawn, DrawnSubject, Subject, type Tally } from "./subject.js";
import { lostQuorumProperty, randomFaultsProperty } from "./view/runs.js";

const faultRunMilliseconds = 10_000;

/** Control daemons on real disks and sockets: a seed decides the order of the faults, not how far each thing got. */
class ControlSubject extends Subject {
    override readonly name = "control";

    override async play(seed: number, tally: Tally): Promise<void> {
        const { steps, ...counts } = await FaultRun.play(seed, faultRunMilliseconds);
        tally.add(steps);
        for (const name of Object.keys(counts) as (keyof Omit<FaultCounts, "steps">)[]) {
            tally.note(name, counts[name]);
        }
    }
}

/** Everything that random runs drive. */
export const subjects: readonly Subject[] = [
    DrawnSubject.create("agreement", tally => [drawn(agreementProperty(tally), 20)]),
    DrawnSubject.create(
        "view",
        tally => [drawn(randomFaultsProperty(tally), 10), drawn(lostQuorumProperty(tally), 50)],
    ),
    DrawnSubject.create("orders", tally => [drawn(declarationRuns(tally), 20), drawn(handOverRuns(tally), 20)]),
    DrawnSubject.create("requests", tally => [drawn(requestProperty(tally), 50)]),
    DrawnSubject.create("scheduling", tally => [drawn(schedulingProperty(tally), 50)]),
    new ControlSubject(),
];
