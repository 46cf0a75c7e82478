import { DocumentState, MemoryDisk } from "../../../state/index.js";
import { Link } from "../../../transport/index.js";
import { createSilentLogger, HostRandomness, SystemClock } from "../../../utils/index.js";
import { AgreementReplica, initialiseDataFolder, Peers } from "../index.js";
import { pollUntilDefined, shortTiming } from "./group.js";

/** Replicas that reach each other by name, without a fixed list of members. */
class Mesh {
    readonly replicas = new Map<string, AgreementReplica>();
    readonly states = new Map<string, DocumentState>();

    /** Starts a member. Only founders start with an initialised folder. */
    async start(name: string, seeds: readonly string[], founders: readonly string[] = []): Promise<void> {
        const disk = MemoryDisk.create();
        if (founders.includes(name)) {
            await initialiseDataFolder(disk, "test", name, founders);
        }
        const state = DocumentState.create();
        this.states.set(name, state);
        this.replicas.set(
            name,
            await AgreementReplica.create({
                name,
                disk,
                peers: new MeshPeers(this, seeds),
                stateMachine: state,
                timing: { ...shortTiming, viewLease: 1 },
                clock: SystemClock.create(),
                randomness: HostRandomness.create(name),
                logger: createSilentLogger(),
                open: { voters: 3, replaceAfter: 200 },
                silence: 0,
                firstElection: 60,
            }),
        );
    }

    async kill(name: string): Promise<void> {
        const replica = this.replicas.get(name);
        this.replicas.delete(name);
        await replica?.stopWithoutHandover();
    }

    async leader(): Promise<AgreementReplica> {
        return pollUntilDefined("a leader", async () => {
            for (const replica of this.replicas.values()) {
                if (replica.currentStatus().leading && await replica.confirmLeadership(500)) {
                    return replica;
                }
            }
            return undefined;
        });
    }

    async store(version: number): Promise<void> {
        await pollUntilDefined(`version ${version}`, async () => {
            const command = { kind: "storeDocument" as const, version, content: `v${version}`, at: 1 };
            const proposal = await (await this.leader()).propose(command, 500);
            return proposal.kind === "result" ? true : undefined;
        });
    }

    /** Waits until the voters are exactly the named members. */
    async voters(names: readonly string[]): Promise<void> {
        await pollUntilDefined(`voters ${names.join()}`, async () => {
            const { voters } = (await this.leader()).currentStatus();
            const found = voters.map(voter => voter.split("#")[0]!).sort();
            return found.join() === [...names].sort().join() ? true : undefined;
        });
    }

    async close(): Promise<void> {
        await Promise.all([...this.replicas.keys()].map(name => this.kill(name)));
    }
}

class MeshPeers extends Peers {
    constructor(private readonly mesh: Mesh, private readonly seeds: readonly string[]) {
        super();
    }

    override names(): readonly string[] {
        return this.seeds;
    }

    override link(name: string): Link {
        return new MeshLink(this.mesh, name);
    }
}

class MeshLink extends Link {
    constructor(private readonly mesh: Mesh, private readonly name: string) {
        super();
    }

    override request(): Promise<never> {
        return Promise.reject(new Error("only messages are sent"));
    }

    override send(body: unknown): void {
        const { from, message } = body as { readonly from: string; readonly message: unknown; };
        setImmediate(() => this.mesh.replicas.get(this.name)?.receive(from, message));
    }

    override close(): void {}
}

describe("an open group", () => {
    const founders = ["a", "b", "c"];
    let mesh: Mesh;

    beforeEach(async () => {
        mesh = new Mesh();
        for (const name of founders) {
            await mesh.start(name, founders, founders);
        }
        await mesh.store(1);
    });

    afterEach(() => mesh.close());

    // A replacement machine may know only a few members, none of them the leader, and would never join the group.
    it("adds a machine that knows only one member, which isn't the leader", async () => {
        const leader = (await mesh.leader()).currentStatus().identity.split("#")[0]!;
        const follower = founders.find(name => name !== leader)!;
        await mesh.start("d", [follower]);
        await pollUntilDefined(
            "the document at d",
            async () => mesh.states.get("d")!.current().version === 1 ? true : undefined,
        );
    });

    // A permanently lost machine never comes back under its name, so no new identity replaces it. If it remained a voter, the
    // loss of one more would stop the group.
    it("replaces a lost voter by a standby learner, and tolerates the next loss", async () => {
        await mesh.start("d", founders);
        await mesh.kill("b");
        await mesh.voters(["a", "c", "d"]);
        await mesh.store(2);
        await mesh.kill("a");
        await mesh.store(3);
        await pollUntilDefined(
            "the document at d",
            async () => mesh.states.get("d")!.current().content === "v3" ? true : undefined,
        );
    });

    it("grows to its target number of voters and not beyond", async () => {
        await mesh.start("d", founders);
        await mesh.start("e", founders);
        await pollUntilDefined("two learners on standby", async () => {
            return (await mesh.leader()).currentStatus().learners.length === 2 ? true : undefined;
        });
        await mesh.voters(founders);
    });

    it("removes a standby learner that is gone", async () => {
        await mesh.start("d", founders);
        await pollUntilDefined("one learner on standby", async () => {
            return (await mesh.leader()).currentStatus().learners.length === 1 ? true : undefined;
        });
        await mesh.kill("d");
        await pollUntilDefined("no learner on standby", async () => {
            return (await mesh.leader()).currentStatus().learners.length === 0 ? true : undefined;
        });
    });

    it("gives a member that lost its disk a new identity, and no vote under the old one", async () => {
        await mesh.kill("b");
        await mesh.start("b", founders);
        await pollUntilDefined("b's new identity among the voters", async () => {
            const { voters } = (await mesh.leader()).currentStatus();
            const identity = mesh.replicas.get("b")!.currentStatus().identity;
            return voters.includes(identity) && voters.length === 3 ? true : undefined;
        });
        await mesh.kill("a");
        await mesh.store(2);
    });
});
