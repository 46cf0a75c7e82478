/** Sends commands to the leader of the control daemons and follows leader changes. */
import { type Either, Left, Right } from "purify-ts";
import {
    type Command,
    type CommandResult,
    peerAnswerSchema,
    type PeerRequest,
    type Timing,
} from "../../protocol/index.js";
import type { Link, Network } from "../../transport/index.js";
import type { Clock, Randomness } from "../../utils/index.js";
import type { Undecided } from "../controlClient.js";

/** A command that a quorum has stored. */
export type CommittedCommand = { readonly index: number; readonly result: CommandResult; };

/** Name and network address of a control daemon. */
export type ControlAddress = { readonly name: string; readonly host: string; readonly port: number; };

type ProposalAttempt =
    | { readonly kind: "held"; readonly committed: CommittedCommand; }
    | { readonly kind: "moved"; readonly leader: string | undefined; }
    | { readonly kind: "failed"; readonly reason: string; };

/** Timeout of one attempt, in election timeouts. A leader that is silent for longer has been replaced or soon will be. */
const attemptTimeoutInElections = 2;
/** Mean delay, in heartbeat intervals, before the next control daemon is tried while no leader is known. */
const retryDelayInHeartbeats = 0.5;

/** Proposes commands, retrying the same command until a leader answers or the timeout expires. */
export class Proposer {
    private readonly links = new Map<string, Link>();
    private readonly retiredLinks = new Set<Link>();
    private leader: string | undefined;
    private nextControlIndex = 0;
    private closed = false;

    private constructor(
        private readonly controls: readonly ControlAddress[],
        private readonly timing: Timing,
        private readonly network: Network,
        private readonly clock: Clock,
        private readonly randomness: Randomness,
    ) {}

    static create(options: {
        readonly controls: readonly ControlAddress[];
        readonly timing: Timing;
        readonly network: Network;
        readonly clock: Clock;
        readonly randomness: Randomness;
    }): Proposer {
        return new Proposer(options.controls, options.timing, options.network, options.clock, options.randomness);
    }

    /** Stores the leader that a control daemon reported. Unknown names are ignored. */
    recordLeader(leader: string | undefined): void {
        if (leader !== undefined && this.controls.some(control => control.name === leader)) {
            this.leader = leader;
        }
    }

    /**
     * Proposes the command, retrying for at most `timeout` milliseconds. Without an answer from a leader the result is
     * undecided, even if the last attempt failed before anything was sent: an earlier attempt may still take effect.
     */
    async propose(command: Command, timeout: number): Promise<Either<Undecided, CommittedCommand>> {
        const deadline = this.clock.monotonic() + timeout;
        let reason = "no attempt was made";
        for (let remaining = timeout; remaining > 0 && !this.closed; remaining = deadline - this.clock.monotonic()) {
            const control = this.nextControl();
            const attempt = await this.attempt(control, command, Math.min(remaining, this.attemptTimeout(command)));
            if (attempt.kind === "held") {
                this.leader = control.name;
                return Right(attempt.committed);
            }
            reason = attempt.kind === "failed"
                ? `${control.name}: ${attempt.reason}`
                : `${control.name} is not the leader`;
            await this.prepareNextAttempt(control, attempt, deadline);
        }
        return Left({ kind: "undecided", reason: `no leader answered within ${timeout} ms; last attempt: ${reason}` });
    }

    /** Closes all links and ends every pending proposal as undecided. */
    close(): void {
        this.closed = true;
        for (const link of [...this.links.values(), ...this.retiredLinks]) {
            link.close();
        }
    }

    private nextControl(): ControlAddress {
        const knownLeader = this.controls.find(control => control.name === this.leader);
        return knownLeader ?? this.controls[this.nextControlIndex++ % this.controls.length]!;
    }

    private async prepareNextAttempt(
        control: ControlAddress,
        attempt: ProposalAttempt,
        deadline: number,
    ): Promise<void> {
        const leaderHint = attempt.kind === "moved" ? attempt.leader : undefined;
        if (this.leader === control.name) {
            this.leader = undefined;
        }
        if (leaderHint !== undefined && leaderHint !== control.name) {
            this.recordLeader(leaderHint);
            return;
        }
        // There is no leader during an election. Without a delay, all daemons would flood the control daemons with
        // proposals.
        const delay = this.timing.heartbeatInterval * retryDelayInHeartbeats * (0.5 + this.randomness.fraction());
        await this.sleep(Math.min(delay, Math.max(0, deadline - this.clock.monotonic())));
    }

    private async attempt(control: ControlAddress, command: Command, timeout: number): Promise<ProposalAttempt> {
        const request: PeerRequest = { kind: "propose", command };
        const link = this.link(control);
        const answer = await link.request(request, timeout);
        return answer.caseOf<ProposalAttempt>({
            Left: failure => {
                if (failure.kind === "timeout") {
                    this.retire(control, link);
                }
                return { kind: "failed", reason: failure.message };
            },
            Right: parseAnswer,
        });
    }

    private attemptTimeout(command: Command): number {
        const baseTimeout = this.timing.electionTimeout * attemptTimeoutInElections;
        // A configuration change is answered only once it is in force, which may take a whole view lease.
        return command.kind === "changeConfiguration" ? baseTimeout + 2 * this.timing.viewLease : baseTimeout;
    }

    private link(control: ControlAddress): Link {
        const knownLink = this.links.get(control.name);
        if (knownLink !== undefined) {
            return knownLink;
        }
        const link = this.network.link(control);
        this.links.set(control.name, link);
        return link;
    }

    /**
     * Replaces the link after a timeout. A stalled connection may stay silent for minutes after the network has
     * recovered, because TCP backs off with each retransmission. The next attempt opens a new connection; the old one
     * stays open for a while for requests that still wait on it.
     */
    private retire(control: ControlAddress, link: Link): void {
        if (this.links.get(control.name) !== link) {
            return;
        }
        this.links.delete(control.name);
        this.retiredLinks.add(link);
        this.clock.after(this.timing.electionTimeout * attemptTimeoutInElections, () => {
            this.retiredLinks.delete(link);
            link.close();
        });
    }

    private sleep(milliseconds: number): Promise<void> {
        return new Promise(resolve => this.clock.after(milliseconds, resolve));
    }
}

function parseAnswer(body: unknown): ProposalAttempt {
    const answer = peerAnswerSchema.safeParse(body);
    if (!answer.success) {
        return { kind: "failed", reason: `invalid answer: ${answer.error.message}` };
    }
    switch (answer.data.kind) {
        case "result":
            return { kind: "held", committed: { index: answer.data.index, result: answer.data.result } };
        case "notLeader":
            return { kind: "moved", leader: answer.data.leader };
        case "undecided":
            return { kind: "failed", reason: answer.data.reason };
        case "failure":
            return { kind: "failed", reason: answer.data.message };
        default:
            return { kind: "failed", reason: `unexpected answer kind ${answer.data.kind}` };
    }
}
