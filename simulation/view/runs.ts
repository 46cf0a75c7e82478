import * as fc from "fast-check";
import type { Tally } from "../subject.js";
import { Deployment } from "./deployment.js";

/** Initial voters; the others join by a membership change. */
const members = 3;
const voters = 5;
const daemons = 2;

const indexBelow = (count: number): fc.Arbitrary<number> => fc.integer({ min: 0, max: count - 1 });
const duration = fc.oneof(fc.integer({ min: 20, max: 1_000 }), fc.integer({ min: 1_000, max: 7_000 }));
const lostQuorumFault = fc.record({
    kind: fc.constant("lostQuorum" as const),
    daemon: indexBelow(daemons),
    spared: indexBelow(3),
    grow: fc.boolean(),
    lead: fc.integer({ min: 0, max: 2_500 }),
    downtime: fc.integer({ min: 200, max: 900 }),
    cutAfter: fc.integer({ min: 0, max: 700 }),
});
const fault = fc.oneof(
    fc.record({ kind: fc.constant("crash" as const), voter: indexBelow(voters), duration }),
    fc.record({ kind: fc.constant("crashSeveral" as const), duration }),
    fc.record({ kind: fc.constant("rollingRestart" as const), duration }),
    fc.record({ kind: fc.constant("freeze" as const), voter: indexBelow(voters), duration }),
    fc.record({ kind: fc.constant("freezeDaemon" as const), daemon: indexBelow(daemons), duration }),
    fc.record({ kind: fc.constant("restartDaemon" as const), daemon: indexBelow(daemons) }),
    fc.record({
        kind: fc.constant("cutOneWay" as const),
        daemon: indexBelow(daemons),
        voter: indexBelow(voters),
        back: fc.boolean(),
        duration,
    }),
    fc.record({
        kind: fc.constant("cutFromVoters" as const),
        daemon: indexBelow(daemons),
        mask: fc.integer({ min: 1, max: 31 }),
        duration,
    }),
    fc.record({ kind: fc.constant("partitionVoters" as const), mask: fc.integer({ min: 1, max: 30 }), duration }),
    fc.record({ kind: fc.constant("changeVoters" as const), voter: indexBelow(voters) }),
    lostQuorumFault,
    fc.record({
        kind: fc.constant("freezeThenCut" as const),
        daemon: indexBelow(daemons),
        duration: fc.integer({ min: 20, max: 2_500 }),
    }),
    fc.record({ kind: fc.constant("loss" as const), part: fc.constantFrom(0, 0.02, 0.2) }),
);
type Fault = typeof fault extends fc.Arbitrary<infer Kind> ? Kind : never;
const schedule = fc.array(fc.record({ after: fc.integer({ min: 0, max: 2_500 }), fault }), {
    minLength: 4,
    maxLength: 25,
});

/** Proposes changes at random intervals, so that one can be accepted between any two faults. */
function proposeChangesPeriodically(deployment: Deployment): void {
    deployment.proposeChange();
    deployment.world.at(deployment.world.now + 100 + 900 * deployment.world.randomness.fraction(), () => {
        proposeChangesPeriodically(deployment);
    });
}

function cutFromVoters(deployment: Deployment, daemon: number, mask: number, duration: number): void {
    deployment.group.voters.filter((_, at) => (mask >> at) & 1).forEach(voter => {
        deployment.cutBothWays(deployment.daemons[daemon]!.process, voter.process, duration);
    });
}

function changeVoters(deployment: Deployment, voter: number): void {
    const { name } = deployment.voter(voter).process;
    deployment.group.voters.forEach(each =>
        each.process.runUnlessRestarted(each.process.start, () => each.changeVoters(name))
    );
}

/**
 * The worst case of a lost quorum: two voters refuse a daemon's connections while it is cut off from the remaining ones, and
 * it is cut off from all voters before the two are reachable again. With `grow`, two voters join that are unknown to the daemon.
 */
function injectLostQuorum(deployment: Deployment, fault: Extract<Fault, { kind: "lostQuorum"; }>): void {
    const { world } = deployment;
    const refusing = [0, 1, 2].filter(voter => voter !== fault.spared);
    if (fault.grow) {
        cutFromVoters(deployment, fault.daemon, 31, fault.lead);
        [3, 4].forEach((voter, at) => world.at(world.now + 300 * at, () => changeVoters(deployment, voter)));
    }
    world.at(world.now + fault.lead, () => {
        refusing.forEach(voter => deployment.voter(voter).crash(fault.downtime));
        cutFromVoters(deployment, fault.daemon, 24 | 1 << fault.spared, 5_000);
    });
    world.at(world.now + fault.lead + fault.cutAfter, () => cutFromVoters(deployment, fault.daemon, 31, 5_000));
}

function inject(deployment: Deployment, fault: Fault): void {
    const { group, world } = deployment;
    const selectedVoters = (mask: number) => group.voters.filter((_, at) => (mask >> at) & 1);
    switch (fault.kind) {
        case "crash":
            return deployment.voter(fault.voter).crash(fault.duration);
        case "crashSeveral":
            return group.voters.slice(0, 2 + world.randomness.integer(0, 1)).forEach(voter => {
                world.at(world.now + 300 * world.randomness.fraction(), () => {
                    voter.crash(fault.duration * (0.5 + world.randomness.fraction()));
                });
            });
        case "rollingRestart":
            return group.voters.forEach((voter, at) =>
                world.at(world.now + at * fault.duration, () => voter.crash(200))
            );
        case "freeze":
            return deployment.voter(fault.voter).process.freeze(fault.duration);
        case "freezeDaemon":
            return deployment.daemons[fault.daemon]!.process.freeze(fault.duration);
        case "restartDaemon":
            return deployment.daemons[fault.daemon]!.restart();
        case "cutOneWay": {
            const names = [deployment.daemons[fault.daemon]!.process.name, deployment.voter(fault.voter).process.name];
            const [from, to] = fault.back ? names.reverse() : names;
            return world.cut(from!, to!, fault.duration);
        }
        case "cutFromVoters":
            return cutFromVoters(deployment, fault.daemon, fault.mask, fault.duration);
        case "partitionVoters":
            return selectedVoters(fault.mask).forEach(one => {
                selectedVoters(~fault.mask).forEach(other =>
                    deployment.cutBothWays(one.process, other.process, fault.duration)
                );
            });
        case "changeVoters":
            return changeVoters(deployment, fault.voter);
        case "lostQuorum":
            return injectLostQuorum(deployment, fault);
        case "freezeThenCut":
            deployment.daemons[fault.daemon]!.process.freeze(fault.duration);
            return world.at(world.now + fault.duration, () => cutFromVoters(deployment, fault.daemon, 31, 5_000));
        case "loss":
            world.lossFraction = fault.part;
    }
}

async function runFaults(
    seed: number,
    faults: readonly { after: number; fault: Fault; }[],
    tally: Tally,
): Promise<void> {
    const deployment = new Deployment({ seed, controls: voters, members, daemons });
    await deployment.run(2_000);
    proposeChangesPeriodically(deployment);
    for (const { after, fault } of faults) {
        await deployment.run(after);
        inject(deployment, fault);
    }
    await deployment.run(9_000);
    tally.addCount("starts", deployment.daemons.reduce((sum, daemon) => sum + daemon.started, 0));
    tally.addCount("acceptedChanges", deployment.group.accepted.size);
    tally.addCount("simulatedMinutes", deployment.world.now / 60_000);
    tally.addRun(deployment.world.steps);
}

/** Property: no daemon starts work on a view that lacks an accepted change, under random sequences of faults. */
export function randomFaultsProperty(tally: Tally): fc.IAsyncProperty<unknown> {
    return fc.asyncProperty(fc.nat(), schedule, (seed, faults) => runFaults(seed, faults, tally)) as fc.IAsyncProperty<
        unknown
    >;
}

/** Property: the same holds if the quorum is lost and recovers while the daemon is cut off. */
export function lostQuorumProperty(tally: Tally): fc.IAsyncProperty<unknown> {
    const after = fc.integer({ min: 0, max: 2_000 });
    const property = fc.asyncProperty(
        fc.nat(),
        after,
        lostQuorumFault,
        (seed, wait, fault) => runFaults(seed, [{ after: wait, fault }], tally),
    );
    return property as fc.IAsyncProperty<unknown>;
}
