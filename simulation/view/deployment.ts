/** Entry daemons and control daemons in one simulation, which checks the invariant at every start of work. */
import { PeerControlClient } from "../../packages/basilpaddle/src/node/coordination/view/viewClient.js";
import { type Command, type Timing, timingSchema } from "../../packages/basilpaddle/src/node/protocol/index.js";
import { createSilentLogger, SeededRandomness } from "../../packages/basilpaddle/src/node/utils/index.js";
import { Group, type Voter } from "./voters.js";
import { FakeNetwork, Process, World } from "./world.js";

/** Interval at which a daemon attempts to start work. */
const workIntervalMilliseconds = 25;
const logger = createSilentLogger();

/** A daemon started work on a view that lacks an accepted change. */
export class StaleStart extends Error {}

export class Daemon {
    client: PeerControlClient;
    started = 0;

    constructor(private readonly deployment: Deployment, readonly process: Process) {
        this.client = this.createClient();
        this.attemptRepeatedly();
    }

    /** Crashes and restarts the process. */
    restart(): void {
        this.process.crash();
        this.process.restart();
        this.client = this.createClient();
        this.attemptRepeatedly();
    }

    /** Starts work if the client permits it. @throws StaleStart if the view lacks an accepted change */
    tryStart(): void {
        if (!this.client.mayStart()) {
            return;
        }
        this.started++;
        const newest = Math.max(0, ...this.deployment.group.accepted);
        const { index } = this.client.view();
        if (index < newest) {
            const { now } = this.deployment.world;
            throw new StaleStart(`${this.process.name} started at ${now} on view ${index}; ${newest} was accepted`);
        }
    }

    private attemptRepeatedly(): void {
        this.tryStart();
        this.process.after(workIntervalMilliseconds, () => this.attemptRepeatedly());
    }

    private createClient(): PeerControlClient {
        const { world, group, timing } = this.deployment;
        const { name, start } = this.process;
        return PeerControlClient.create({
            session: { daemon: name, incarnation: `${start}` },
            failureDomain: "pocitos",
            peers: { host: "127.0.0.1", port: 0 },
            controls: group.voters.map((voter, port) => ({ name: voter.process.name, host: "127.0.0.1", port })),
            timing,
            network: new FakeNetwork(this.process, group.voters),
            clock: this.process,
            randomness: SeededRandomness.create(world.randomness.integer(0, 2 ** 30)),
            logger,
        });
    }
}

export class Deployment {
    readonly world: World;
    readonly timing: Timing = timingSchema.parse({});
    readonly group: Group;
    readonly daemons: Daemon[];

    constructor(options: { seed: number; controls: number; members: number; daemons: number; }) {
        this.world = new World(options.seed);
        const processes = (kind: string, count: number): Process[] =>
            Array.from({ length: count }, (_, index) => {
                const drift = this.timing.clockDrift * 0.49 * (2 * this.world.randomness.fraction() - 1);
                return new Process(this.world, `${kind}-${index}`, 1 + drift);
            });
        this.group = new Group(this.timing, processes("control", options.controls), options.members);
        this.daemons = processes("entry", options.daemons).map(process => new Daemon(this, process));
    }

    voter(index: number): Voter {
        return this.group.voters[index]!;
    }

    /** Proposes an operator's change to every voter that believes it is the leader. */
    proposeChange(): void {
        const command: Command = { kind: "markBackend", id: "x", incarnation: 0, mark: "gone", by: "operator", at: 0 };
        for (const voter of this.group.voters) {
            voter.process.runUnlessRestarted(voter.process.start, () => void voter.propose(command));
        }
    }

    /** Drops all messages between two processes, in both directions, for `duration` milliseconds. */
    cutBothWays(one: Process, other: Process, duration: number): void {
        this.world.cut(one.name, other.name, duration);
        this.world.cut(other.name, one.name, duration);
    }

    /** Advances the simulation by `duration` milliseconds. */
    async run(duration: number): Promise<void> {
        await this.world.run(this.world.now + duration);
    }
}
