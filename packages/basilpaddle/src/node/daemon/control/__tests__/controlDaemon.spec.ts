import { expect } from "chai";
import { type Command, controlSettingsSchema, type PeerAnswer, type PeerRequest } from "../../../protocol/index.js";
import { commands } from "../../../state/__tests__/commands.js";
import { type Link, TcpNetwork } from "../../../transport/index.js";
import { createSilentLogger, SeededRandomness, SystemClock } from "../../../utils/index.js";
import { ControlDaemon } from "../controlDaemon.js";
import { SoloReplica } from "./soloReplica.js";

const logger = createSilentLogger();
const clock = SystemClock.create();
/** Long enough that no lease expires during a test. */
const longLeaseMilliseconds = 600_000;

describe("a control daemon", () => {
    let daemon: ControlDaemon;
    let replica: SoloReplica;
    let link: Link;

    beforeEach(() => start(longLeaseMilliseconds));

    afterEach(stop);

    async function start(viewLease: number): Promise<void> {
        const address = { host: "127.0.0.1", port: 0 };
        const settings = controlSettingsSchema.parse({
            role: "control",
            name: "solo",
            failureDomain: "pocitos",
            operators: address,
            peers: address,
            controls: [{ name: "solo", ...address }],
            timing: { viewLease, sessionTimeout: 600_000, backendTimeout: 600_000 },
            dataFolder: "unused",
        });
        daemon = await ControlDaemon.create({
            settings,
            clock,
            randomness: SeededRandomness.create(1),
            logger,
            replica: stateMachine => Promise.resolve(replica = new SoloReplica(stateMachine, clock)),
        });
        link = TcpNetwork.create(logger).link({ host: "127.0.0.1", port: daemon.port() });
    }

    async function stop(): Promise<void> {
        link.close();
        await daemon.close();
    }

    async function ask(request: PeerRequest): Promise<PeerAnswer> {
        return (await link.request(request, 10_000)).unsafeCoerce() as PeerAnswer;
    }

    function propose(command: Command): Promise<PeerAnswer> {
        return ask({ kind: "propose", command });
    }

    async function confirm(daemonName: string, applied: number, incarnation = "1") {
        const session = commands.session(daemonName, incarnation);
        const answer = await ask({
            kind: "confirmView",
            session,
            applied,
            revision: 0,
            renewals: [],
            wantsSteps: true,
        });
        expect(answer.kind).to.equal("viewAnswer");
        return answer as Extract<PeerAnswer, { kind: "viewAnswer"; }>;
    }

    async function untilCommitted(): Promise<void> {
        while (daemon.status().view().configuration.revision === 0) {
            await confirm("watcher", 0);
        }
    }

    it("sends a follower the steps that it is missing, and nothing if it is up to date", async () => {
        await propose(commands.open("a"));
        await propose(commands.announce("w", 1));
        const behind = await confirm("a", 0);
        expect(behind.steps!.map(step => step.index)).to.deep.equal([1, 2]);
        const upToDate = await confirm("a", 2);
        expect(upToDate).to.include({ appendedView: 2, committedView: 2, voting: true });
        expect(upToDate).not.to.have.any.keys("steps", "snapshot");
    });

    it("sends the whole view to a follower that is missing hundreds of steps", async () => {
        for (let count = 0; count < 300; count++) {
            await daemon.propose(commands.announce("w", count));
        }
        const { snapshot, steps } = await confirm("a", 3);
        expect(steps).to.equal(undefined);
        expect(snapshot!.index).to.equal(300);
    });

    it("refuses an inconsistent declaration with all findings, without proposing it", async () => {
        const command = commands.change("one", 0) as Extract<Command, { kind: "changeConfiguration"; }>;
        command.change.declaration.routes.push({
            name: "r",
            model: "unknown",
            nonIdempotent: false,
            priority: 1,
            deadline: 1,
        });
        command.change.declaration.pools.drafting!.floor.decode = 9;
        const answer = await propose(command);
        expect(answer.kind).to.equal("failure");
        expect((answer as { message: string; }).message).to.match(/floor of 9 decode[^]*names model unknown/);
        expect(daemon.status().history()).to.deep.equal([]);
    });

    it("refuses a change that exceeds the size limit of commands, and keeps working", async () => {
        // Failure: the operator's connection was closed without a reason, since the log throws on a command of this size.
        const command = commands.change("one", 0) as Extract<Command, { kind: "changeConfiguration"; }>;
        command.change.files = [{ name: "big.json", text: "x".repeat(8 * 1024 * 1024) }];
        expect((await propose(command) as { message: string; }).message).to.match(/the limit is 8388608/);
        expect((await propose(commands.open("a"))).kind).to.equal("result");
    });

    it("answers a request that doesn't match the protocol, and keeps working", async () => {
        expect((await ask({ kind: "propose" } as PeerRequest)).kind).to.equal("failure");
        expect((await propose(commands.open("a"))).kind).to.equal("result");
    });

    it("answers `undecided` for a change when leadership ends before it is in force", async () => {
        // Failure: an operator was answered `accepted` while a daemon still used the old configuration. The change is
        // committed, a session hasn't applied it, and leadership is lost and regained; the answer was sent after the term in which
        // the change was proposed.
        await propose(commands.open("a"));
        const answer = propose(commands.change("one", 0));
        await untilCommitted();
        expect(daemon.status().configuration()).to.deep.include({ revision: 1, inForceEverywhere: false });
        replica.changeLeadership();
        expect(await answer).to.include({ kind: "undecided" });
    });

    it("answers `undecided` if it no longer leads after waiting for a change to be in force", async () => {
        // Failure as above. The leader process is suspended while it waits, and the lease has expired when it resumes; the
        // answer was based on its knowledge of leadership from before.
        await stop();
        await start(100);
        replica.confirms = false;
        expect(await propose(commands.change("one", 0))).to.include({ kind: "undecided" });
    });
});
