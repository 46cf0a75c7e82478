import type { ControlGroup } from "../../../../../../../simulation/control/controlGroup.js";
import { PartitionableNetwork } from "../../../../../../../simulation/control/partitionableNetwork.js";
import type { Command, Incarnation, PeerAnswer, PeerRequest, View } from "../../../protocol/index.js";
import { commands } from "../../../state/__tests__/commands.js";
import { ViewState } from "../../../state/index.js";
import type { Link } from "../../../transport/index.js";

type ViewAnswer = Extract<PeerAnswer, { kind: "viewAnswer"; }>;

/** Timeout of a proposal; longer than a change takes to be in force. */
const proposeTimeoutMilliseconds = 1_500;

/** Timeout of a request to confirm the view; allows for an answer with a whole view on a busy machine. */
const askTimeoutMilliseconds = 2_000;

/** A minimal entry daemon: asks every control daemon at intervals to confirm its view, and applies the changes. */
export class Follower {
    readonly session: Incarnation;
    /** Number of whole views applied. */
    snapshots = 0;
    private state = ViewState.create();
    private readonly links: ReadonlyMap<string, Link>;
    private stopped = false;
    private avoidedDaemon: string | undefined;

    constructor(group: ControlGroup, daemon: string) {
        this.session = commands.session(daemon);
        const network = new PartitionableNetwork(group.topology, 0);
        this.links = new Map(group.settings(group.names[0]!).controls.map(each => [each.name, network.link(each)]));
    }

    /** Opens the session and starts polling. */
    async start(): Promise<void> {
        await this.propose(commands.open(this.session.daemon));
        this.follow();
    }

    follow(): void {
        for (const name of this.links.keys()) {
            void this.pollRepeatedly(name);
        }
    }

    view(): View {
        return this.state.view();
    }

    /** Asks one control daemon once and applies its answer. */
    async ask(name: string): Promise<ViewAnswer | undefined> {
        const request: PeerRequest = {
            kind: "confirmView",
            session: this.session,
            applied: this.view().index,
            revision: this.view().configuration.revision,
            renewals: [],
            wantsSteps: true,
        };
        const answer = (await this.links.get(name)!.request(request, askTimeoutMilliseconds)).toMaybe().extract() as
            | ViewAnswer
            | undefined;
        if (answer !== undefined) {
            this.applyAnswer(answer);
        }
        return answer;
    }

    /** Proposes a command repeatedly until a leader answers. */
    async propose(command: Command): Promise<Extract<PeerAnswer, { kind: "result"; }>> {
        for (;;) {
            for (const link of this.links.values()) {
                const answer = (await link.request({ kind: "propose", command }, proposeTimeoutMilliseconds)).toMaybe()
                    .extract() as
                        | PeerAnswer
                        | undefined;
                if (answer?.kind === "result") {
                    return answer;
                }
            }
            await new Promise(resolve => setTimeout(resolve, 20));
        }
    }

    /** Stops polling one control daemon, as if a network partition separated the two. */
    avoid(name: string): void {
        this.avoidedDaemon = name;
    }

    stop(): void {
        this.stopped = true;
        this.links.forEach(link => link.close());
    }

    private async pollRepeatedly(name: string): Promise<void> {
        while (!this.stopped) {
            if (name !== this.avoidedDaemon) {
                await this.ask(name);
            }
            await new Promise(resolve => setTimeout(resolve, 30));
        }
    }

    private applyAnswer(answer: ViewAnswer): void {
        if (answer.snapshot !== undefined && answer.snapshot.index > this.view().index) {
            this.state = ViewState.fromSnapshot(answer.snapshot);
            this.snapshots += 1;
        }
        for (const step of answer.steps ?? []) {
            if (step.index > this.view().index) {
                this.state.apply(step.index, step.command);
            }
        }
    }
}
