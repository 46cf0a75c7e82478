import { PeerControlClient } from "../../packages/basilpaddle/src/node/coordination/index.js";
import type { Change, Command } from "../../packages/basilpaddle/src/node/protocol/index.js";
import { commands } from "../../packages/basilpaddle/src/node/state/__tests__/commands.js";
import { createSilentLogger, SeededRandomness, SystemClock } from "../../packages/basilpaddle/src/node/utils/index.js";
import { ControlGroup } from "./controlGroup.js";
import { CuttableNetwork } from "./cuttableNetwork.js";

const names = ["one", "two", "three"];
const clientCount = 4;
/** Ports of the wiring by which clients are cut off. */
const firstClientPort = 101;
const pauseMilliseconds = 120;

/** What a run did. */
export type FaultCounts = {
    steps: number;
    accepted: number;
    conflicts: number;
    undecided: number;
    cuts: number;
    kills: number;
};

/**
 * Changes by racing operators while control daemons are killed and both they and entry daemons are cut off. The seed
 * decides what happens in which order; how far each thing got by then is up to the machine.
 */
export class FaultRun {
    readonly counts: FaultCounts = { steps: 0, accepted: 0, conflicts: 0, undecided: 0, cuts: 0, kills: 0 };
    private readonly clients: PeerControlClient[];
    private readonly changeOfRevision = new Map<number, string>();
    private readonly decided = new Map<string, { readonly change: Change; readonly revision: number; }>();
    private readonly open = new Set<Promise<void>>();
    private failure: Error | undefined;
    private lastChange = 0;

    private constructor(private readonly group: ControlGroup, private readonly randomness: SeededRandomness) {
        this.clients = Array.from({ length: clientCount }, (_, position) => this.createClient(position));
    }

    /** Plays one run for the given time. Throws what broke a promise. */
    static async play(seed: number, milliseconds: number): Promise<FaultCounts> {
        const run = new FaultRun(await ControlGroup.create(names), SeededRandomness.create(seed));
        try {
            for (const end = performance.now() + milliseconds; performance.now() < end && run.failure === undefined;) {
                await run.step();
                await new Promise(resolve => setTimeout(resolve, pauseMilliseconds));
            }
            await run.end();
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
                this.group.wiring.cutOff.add(port);
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
                this.group.wiring.cutOff.clear();
                return;
            case 4:
                this.resend();
                return;
            default:
                this.race();
        }
    }

    /** Two operators against the same revision, each at the control daemon that it takes for the leader. */
    private race(): void {
        const base = Math.max(...this.clients.map(client => client.view().configuration.revision));
        for (const operator of ["ana", "bo"]) {
            const command = commands.change(`change-${++this.lastChange}`, base, operator);
            this.propose(command);
        }
    }

    private resend(): void {
        const earlier = [...this.decided.values()];
        if (earlier.length > 0) {
            const { change } = earlier[this.randomness.integer(0, earlier.length - 1)]!;
            this.propose({ kind: "changeConfiguration", change, at: 1 });
        }
    }

    private propose(command: Command): void {
        for (const name of names) {
            const daemon = this.group.daemon(name);
            if (daemon?.status().replicaStatus().leading && command.kind === "changeConfiguration") {
                const proposal = daemon.propose(command).then(answer => {
                    if (answer.kind === "result" && answer.result.kind === "accepted") {
                        this.accepted(command.change, answer.result.revision);
                    }
                    else if (answer.kind === "result") {
                        this.counts.conflicts += 1;
                        this.check(!this.decided.has(command.change.changeId), "an accepted change got another answer");
                    }
                    else {
                        this.counts.undecided += 1;
                    }
                }).finally(() => this.open.delete(proposal));
                this.open.add(proposal);
            }
        }
    }

    /** Runs at the moment of the answer. */
    private accepted(change: Change, revision: number): void {
        this.counts.accepted += 1;
        const first = this.decided.get(change.changeId);
        this.check(first === undefined || first.revision === revision, "a resend got another revision");
        this.decided.set(change.changeId, { change, revision });
        this.checkRevision(revision, change.changeId);
        const behind = this.clients.filter(each => each.mayStart() && each.view().configuration.revision < revision);
        const which = behind.map(each => each.session().daemon).join(", ");
        this.check(behind.length === 0, `revision ${revision} was accepted and not in force on ${which}`);
    }

    /** Without faults every daemon gets to the newest revision. */
    private async end(): Promise<void> {
        this.group.wiring.cutOff.clear();
        await Promise.all(this.open);
        const newest = Math.max(0, ...[...this.decided.values()].map(decided => decided.revision));
        const end = performance.now() + 20_000;
        while (this.clients.some(each => !each.mayStart() || each.view().configuration.revision < newest)) {
            if (performance.now() > end) {
                this.check(false, `not every daemon could start work at revision ${newest} 20 s after the last fault`);
                return;
            }
            await new Promise(resolve => setTimeout(resolve, 20));
        }
    }

    private createClient(position: number): PeerControlClient {
        const settings = this.group.settings(names[0]!);
        const client = PeerControlClient.create({
            session: commands.session(`entry-${position}`),
            failureDomain: "pocitos",
            peers: { host: "127.0.0.1", port: 1 },
            controls: settings.controls,
            timing: settings.timing,
            network: new CuttableNetwork(this.group.wiring, firstClientPort + position),
            clock: SystemClock.create(),
            randomness: SeededRandomness.create(position + 1),
            logger: createSilentLogger(),
        });
        let last = 0;
        client.onView(({ configuration }) => {
            this.check(configuration.revision >= last, `revision ${configuration.revision} after ${last}`);
            last = configuration.revision;
            if (last > 0) {
                this.checkRevision(last, configuration.changeId);
            }
        });
        return client;
    }

    private checkRevision(revision: number, changeId: string): void {
        const known = this.changeOfRevision.get(revision) ?? changeId;
        this.changeOfRevision.set(revision, known);
        this.check(known === changeId, `revision ${revision} is ${known} and ${changeId}`);
    }

    private check(condition: boolean, message: string): void {
        if (!condition) {
            this.failure ??= new Error(message);
        }
    }
}
