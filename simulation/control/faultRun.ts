import { PeerControlClient } from "../../packages/basilpaddle/src/node/coordination/index.js";
import type { Change, Command } from "../../packages/basilpaddle/src/node/protocol/index.js";
import { commands } from "../../packages/basilpaddle/src/node/state/__tests__/commands.js";
import { createSilentLogger, SeededRandomness, SystemClock } from "../../packages/basilpaddle/src/node/utils/index.js";
import { ControlGroup } from "./controlGroup.js";
import { PartitionableNetwork } from "./partitionableNetwork.js";

const names = ["one", "two", "three"];
const clientCount = 4;
/** The ports that identify the clients in the topology; clients don't listen on them. */
const firstClientPort = 101;
/** Delay between two steps. */
const pauseMilliseconds = 120;

/** Counts of a run: `conflicts` and `undecided` are answers to proposals, and `cuts` are isolations of a daemon. */
export type FaultCounts = {
    steps: number;
    accepted: number;
    conflicts: number;
    undecided: number;
    cuts: number;
    kills: number;
};

/**
 * Operators propose concurrent changes while control daemons are killed and control and entry daemons are isolated. The seed
 * determines the order of the steps, but not their timing, so that a run isn't fully reproducible.
 */
export class FaultRun {
    readonly counts: FaultCounts = { steps: 0, accepted: 0, conflicts: 0, undecided: 0, cuts: 0, kills: 0 };
    private readonly clients: PeerControlClient[];
    private readonly changeIdByRevision = new Map<number, string>();
    private readonly acceptedChanges = new Map<string, { readonly change: Change; readonly revision: number; }>();
    private readonly pendingProposals = new Set<Promise<void>>();
    private failure: Error | undefined;
    private lastChangeNumber = 0;

    private constructor(private readonly group: ControlGroup, private readonly randomness: SeededRandomness) {
        this.clients = Array.from({ length: clientCount }, (_, index) => this.createClient(index));
    }

    /** Executes one run for the given duration. @throws Error with the first violated invariant */
    static async execute(seed: number, milliseconds: number): Promise<FaultCounts> {
        const run = new FaultRun(await ControlGroup.create(names), SeededRandomness.create(seed));
        try {
            for (const end = performance.now() + milliseconds; performance.now() < end && run.failure === undefined;) {
                await run.step();
                await new Promise(resolve => setTimeout(resolve, pauseMilliseconds));
            }
            await run.waitForConvergence();
        }
        finally {
            await Promise.all(run.clients.map(client => client.close()));
            await run.group.close();
        }
        if (run.failure !== undefined) {
            throw run.failure;
        }
        return run.counts;
    }

    private async step(): Promise<void> {
        this.counts.steps += 1;
        const port = this.randomness.integer(0, 1) === 0
            ? this.randomness.integer(1, names.length)
            : firstClientPort + this.randomness.integer(0, clientCount - 1);
        switch (this.randomness.integer(0, 7)) {
            case 0:
                this.counts.cuts += 1;
                this.group.topology.isolatedPorts.add(port);
                return;
            case 1: {
                this.counts.kills += 1;
                const name = names[this.randomness.integer(0, names.length - 1)]!;
                await this.group.kill(name);
                await this.group.start(name);
                return;
            }
            case 2:
            case 3:
                this.group.topology.isolatedPorts.clear();
                return;
            case 4:
                this.resendAcceptedChange();
                return;
            default:
                this.proposeConcurrently();
        }
    }

    /** Two operators propose changes based on the same revision. */
    private proposeConcurrently(): void {
        const base = Math.max(...this.clients.map(client => client.view().configuration.revision));
        for (const operator of ["ana", "bo"]) {
            const command = commands.change(`change-${++this.lastChangeNumber}`, base, operator);
            this.propose(command);
        }
    }

    private resendAcceptedChange(): void {
        const earlier = [...this.acceptedChanges.values()];
        if (earlier.length > 0) {
            const { change } = earlier[this.randomness.integer(0, earlier.length - 1)]!;
            this.propose({ kind: "changeConfiguration", change, at: 1 });
        }
    }

    /** Proposes the command to every control daemon that considers itself the leader. */
    private propose(command: Command): void {
        for (const name of names) {
            const daemon = this.group.daemon(name);
            if (daemon?.status().replicaStatus().leading && command.kind === "changeConfiguration") {
                const proposal = daemon.propose(command).then(answer => {
                    if (answer.kind === "result" && answer.result.kind === "accepted") {
                        this.handleAccepted(command.change, answer.result.revision);
                    }
                    else if (answer.kind === "result") {
                        this.counts.conflicts += 1;
                        this.check(
                            !this.acceptedChanges.has(command.change.changeId),
                            "an accepted change was refused afterwards",
                        );
                    }
                    else {
                        this.counts.undecided += 1;
                    }
                }).finally(() => this.pendingProposals.delete(proposal));
                this.pendingProposals.add(proposal);
            }
        }
    }

    /** Called with the answer: by then, every client that may start work must have applied the change. */
    private handleAccepted(change: Change, revision: number): void {
        this.counts.accepted += 1;
        const first = this.acceptedChanges.get(change.changeId);
        this.check(
            first === undefined || first.revision === revision,
            "an accepted change was answered with another revision afterwards",
        );
        this.acceptedChanges.set(change.changeId, { change, revision });
        this.checkRevision(revision, change.changeId);
        const behindClients = this.clients.filter(each =>
            each.mayStart() && each.view().configuration.revision < revision
        );
        const behindDaemons = behindClients.map(each => each.session().daemon).join(", ");
        this.check(
            behindClients.length === 0,
            `revision ${revision} was accepted before it was in force on ${behindDaemons}`,
        );
    }

    /** Ends all faults; every client must then reach the newest accepted revision and be able to start work. */
    private async waitForConvergence(): Promise<void> {
        this.group.topology.isolatedPorts.clear();
        await Promise.all(this.pendingProposals);
        const newestRevision = Math.max(0, ...[...this.acceptedChanges.values()].map(accepted => accepted.revision));
        const end = performance.now() + 20_000;
        while (this.clients.some(each => !each.mayStart() || each.view().configuration.revision < newestRevision)) {
            if (performance.now() > end) {
                this.check(
                    false,
                    `not every daemon could start work at revision ${newestRevision} 20 s after the last fault`,
                );
                return;
            }
            await new Promise(resolve => setTimeout(resolve, 20));
        }
    }

    private createClient(index: number): PeerControlClient {
        const settings = this.group.settings(names[0]!);
        const client = PeerControlClient.create({
            session: commands.session(`entry-${index}`),
            failureDomain: "pocitos",
            peers: { host: "127.0.0.1", port: 1 },
            controls: settings.controls,
            timing: settings.timing,
            network: new PartitionableNetwork(this.group.topology, firstClientPort + index),
            clock: SystemClock.create(),
            randomness: SeededRandomness.create(index + 1),
            logger: createSilentLogger(),
        });
        let lastRevision = 0;
        client.onView(({ configuration }) => {
            this.check(
                configuration.revision >= lastRevision,
                `a client received revision ${configuration.revision} after ${lastRevision}`,
            );
            lastRevision = configuration.revision;
            if (lastRevision > 0) {
                this.checkRevision(lastRevision, configuration.changeId);
            }
        });
        return client;
    }

    private checkRevision(revision: number, changeId: string): void {
        const knownChangeId = this.changeIdByRevision.get(revision) ?? changeId;
        this.changeIdByRevision.set(revision, knownChangeId);
        this.check(
            knownChangeId === changeId,
            `revision ${revision} belongs to two changes: ${knownChangeId} and ${changeId}`,
        );
    }

    private check(condition: boolean, message: string): void {
        if (!condition) {
            this.failure ??= new Error(message);
        }
    }
}
