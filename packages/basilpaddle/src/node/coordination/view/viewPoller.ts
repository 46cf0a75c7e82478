/** Polls all control daemons periodically to confirm that the local view is current and to fetch missing steps. */
import { type Either, Left, Right } from "purify-ts";
import {
    type Incarnation,
    type PeerAnswer,
    peerAnswerSchema,
    type PeerRequest,
    type Timing,
} from "../../protocol/index.js";
import type { Link, LinkFailure, Network } from "../../transport/index.js";
import type { Clock, Logger, Randomness } from "../../utils/index.js";
import type { CrashExchange } from "../quarantine/index.js";
import { PendingRenewals } from "./pendingRenewals.js";
import type { ControlAddress } from "./proposer.js";
import type { ViewLease } from "./viewLease.js";

/** A control daemon's answer to a `confirmView` request. */
export type ViewAnswer = Extract<PeerAnswer, { kind: "viewAnswer"; }>;

type ControlPeer = {
    readonly address: ControlAddress;
    link: Link;
    requestInFlight: boolean;
    /** Voter identity from the last answer of this address. */
    voter: string | undefined;
    lastRequestAnswered: boolean;
    /** Monotonic milliseconds when a request for steps was sent; undefined when none is in flight. */
    stepsRequestedAt: number | undefined;
};

type Poll = { readonly round: number; readonly sentAt: number; readonly wantsSteps: boolean; };

/** Fraction by which an interval is randomly shortened or lengthened, so that daemons don't poll at the same instants. */
const intervalJitter = 0.2;
/**
 * Maximum random delay before an early round, as a fraction of the interval: many daemons apply a change at the same
 * time.
 */
const earlyRoundFraction = 0.5;
/** Request timeout in poll intervals. After a timeout the next request uses a new connection. */
const requestTimeoutIntervals = 2;

/** Confirms the view lease and fetches view steps by polling the control daemons. */
export class ViewPoller {
    private readonly controls: readonly ControlPeer[];
    private readonly renewals = PendingRenewals.create();
    private round = 0;
    private stepsSourceIndex = 0;
    private cancelTimer: (() => void) | undefined;
    private closed = false;

    private constructor(private readonly options: ViewPollerOptions) {
        this.controls = options.controls.map(address => ({
            address,
            link: options.network.link(address),
            requestInFlight: false,
            voter: undefined,
            lastRequestAnswered: true,
            stepsRequestedAt: undefined,
        }));
        this.stepsSourceIndex = options.randomness.integer(0, this.controls.length - 1);
    }

    static create(options: ViewPollerOptions): ViewPoller {
        return new ViewPoller(options);
    }

    /** Adds a backend server's renewal to the coming rounds, until a control daemon has acknowledged it. */
    recordRenewal(id: string, incarnation: number): void {
        this.renewals.record(id, incarnation);
    }

    /** Polls now and then once per interval. */
    start(): void {
        if (this.closed) {
            return;
        }
        this.pollAll();
        const { timing, randomness } = this.options;
        this.scheduleRound(timing.viewInterval * (1 - intervalJitter + 2 * intervalJitter * randomness.fraction()));
    }

    /** Starts the next round early, because a leader waits until this daemon reports that it has applied a change. */
    pollSoon(): void {
        const { timing, randomness } = this.options;
        this.scheduleRound(timing.viewInterval * earlyRoundFraction * randomness.fraction());
    }

    /** Stops polling. Answers to requests in flight are discarded. */
    close(): void {
        this.closed = true;
        this.cancelTimer?.();
        for (const control of this.controls) {
            control.link.close();
        }
    }

    private scheduleRound(milliseconds: number): void {
        this.cancelTimer?.();
        if (!this.closed) {
            this.cancelTimer = this.options.clock.after(milliseconds, () => this.start());
        }
    }

    private pollAll(): void {
        const sentAt = this.options.clock.monotonic();
        const round = ++this.round;
        this.options.lease.startRound(round, sentAt);
        const stepsSource = this.nextStepsSource(sentAt);
        for (const control of this.controls) {
            // At most one request is in flight per control daemon. Otherwise requests would queue up on a silent
            // connection, and a refusal could belong to a connection attempt of an earlier round, from before the process
            // was started.
            if (!control.requestInFlight) {
                void this.poll(control, { round, sentAt, wantsSteps: control === stepsSource });
            }
        }
    }

    /** Steps are requested from one control daemon at a time, in rotation, preferring one that answered its last request. */
    private nextStepsSource(now: number): ControlPeer | undefined {
        // A snapshot takes a while to arrive. Requesting it from a second daemon as well would slow down both transfers.
        if (
            this.controls.some(({ stepsRequestedAt }) =>
                stepsRequestedAt !== undefined && now < stepsRequestedAt + this.requestTimeout()
            )
        ) {
            return undefined;
        }
        for (let checked = 0; checked < this.controls.length; checked++) {
            this.stepsSourceIndex = (this.stepsSourceIndex + 1) % this.controls.length;
            const control = this.controls[this.stepsSourceIndex]!;
            if (control.lastRequestAnswered && !control.requestInFlight) {
                return control;
            }
        }
        return this.controls.find(control => !control.requestInFlight);
    }

    private async poll(control: ControlPeer, poll: Poll): Promise<void> {
        const { session, progress, timing } = this.options;
        const renewals = this.renewals.pending();
        const { name } = control.address;
        const crashes = this.options.crashes?.question(name);
        const request: PeerRequest = {
            kind: "confirmView",
            session,
            ...progress(),
            renewals: renewals.list,
            wantsSteps: poll.wantsSteps,
            ...crashes === undefined ? {} : { crashes: crashes.question },
        };
        control.requestInFlight = true;
        control.stepsRequestedAt = poll.wantsSteps ? poll.sentAt : undefined;
        // A snapshot takes longer to transfer than a confirmation without steps.
        const timeout = this.requestTimeout() + (poll.wantsSteps ? timing.viewLease : 0);
        const answer = await control.link.request(request, timeout);
        control.requestInFlight = false;
        control.stepsRequestedAt = undefined;
        control.lastRequestAnswered = answer.isRight();
        if (this.closed) {
            return;
        }
        answer.caseOf({
            Left: failure => this.handleFailure(control, poll, failure),
            Right: body => {
                this.renewals.acknowledge(renewals.upTo);
                this.handleAnswer(control, poll, body, crashes?.count ?? 0);
            },
        });
    }

    private requestTimeout(): number {
        return this.options.timing.viewInterval * requestTimeoutIntervals;
    }

    private handleFailure(control: ControlPeer, poll: Poll, failure: LinkFailure): void {
        if (failure.kind === "refused" && control.voter !== undefined) {
            this.options.lease.recordRefusal(poll.round, control.voter, this.options.clock.monotonic());
        }
        if (failure.kind === "timeout") {
            // After a partition that drops packets silently, TCP retransmits with exponential backoff and can stay stalled
            // for minutes after the network has recovered. A new connection works at once.
            control.link.close();
            control.link = this.options.network.link(control.address);
        }
    }

    private handleAnswer(control: ControlPeer, poll: Poll, body: unknown, sentCrashes: number): void {
        const answer = parseViewAnswer(body);
        answer.caseOf({
            Left: message => {
                this.options.logger.warn("invalid answer to a view confirmation request", {
                    control: control.address,
                    message,
                });
            },
            Right: viewAnswer => {
                control.voter = viewAnswer.voter;
                if (viewAnswer.crashes !== undefined) {
                    this.options.crashes?.mergeReply(control.address.name, sentCrashes, viewAnswer.crashes);
                }
                this.options.onAnswer(viewAnswer);
                this.options.lease.recordAnswer(poll.round, viewAnswer);
            },
        });
    }
}

/** Options of a view poller. */
export type ViewPollerOptions = {
    readonly session: Incarnation;
    readonly controls: readonly ControlAddress[];
    readonly timing: Timing;
    readonly network: Network;
    readonly clock: Clock;
    readonly randomness: Randomness;
    readonly logger: Logger;
    readonly lease: ViewLease;
    /**
     * Exchanges records of requests that backend servers were running when they crashed, as part of the polls.
     * @default no records are exchanged
     */
    readonly crashes?: CrashExchange | undefined;
    /** Log index and configuration revision that this daemon has applied. */
    readonly progress: () => { readonly applied: number; readonly revision: number; };
    /** Applies the steps or the snapshot of an answer. Called before the answer counts for the lease. */
    readonly onAnswer: (answer: ViewAnswer) => void;
};

function parseViewAnswer(body: unknown): Either<string, ViewAnswer> {
    const parsed = peerAnswerSchema.safeParse(body);
    if (!parsed.success) {
        return Left(parsed.error.message);
    }
    if (parsed.data.kind !== "viewAnswer") {
        return Left(`unexpected answer kind ${parsed.data.kind}`);
    }
    return Right(parsed.data);
}
