/** Asks all control daemons, round after round, whether the view is still the newest. */
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
import type { ControlAddress } from "./proposer.js";
import { Renewals } from "./renewals.js";
import type { ViewLease } from "./viewLease.js";

/** What a control daemon said about the view. */
export type ViewAnswer = Extract<PeerAnswer, { kind: "viewAnswer"; }>;

type Control = {
    readonly address: ControlAddress;
    link: Link;
    asking: boolean;
    /** Identity of the voter behind the address, as it last told it. */
    voter: string | undefined;
    /** Whether its last question was answered. */
    answers: boolean;
    /** Monotonic milliseconds at which it was asked for steps, until it answered. */
    askedForSteps: number | undefined;
};

type Question = { readonly round: number; readonly sentAt: number; readonly wantsSteps: boolean; };

/** Part by which an interval is made shorter or longer at random, so that many daemons don't ask in step. */
const jitter = 0.2;
/** Longest part of an interval until the next round after the view moved; many daemons move at once. */
const hastePart = 0.5;
/** A question without an answer after this many intervals goes over a new connection the next time. */
const patienceInIntervals = 2;

/** Keeps the view lease fed with answers, and the view with what it misses. */
export class Confirmer {
    private readonly controls: readonly Control[];
    private readonly renewals = Renewals.create();
    private round = 0;
    private source = 0;
    private cancelTimer: (() => void) | undefined;
    private closed = false;

    private constructor(private readonly options: ConfirmerOptions) {
        this.controls = options.controls.map(address => ({
            address,
            link: options.network.link(address),
            asking: false,
            voter: undefined,
            answers: true,
            askedForSteps: undefined,
        }));
        this.source = options.randomness.integer(0, this.controls.length - 1);
    }

    static create(options: ConfirmerOptions): Confirmer {
        return new Confirmer(options);
    }

    /** Notes a renewal for the coming rounds, until a control daemon answered one that told it. */
    noteRenewal(id: string, incarnation: number): void {
        this.renewals.note(id, incarnation);
    }

    /** Asks now, and from then on at each interval. */
    start(): void {
        if (this.closed) {
            return;
        }
        this.ask();
        const { timing, randomness } = this.options;
        this.askAfter(timing.viewInterval * (1 - jitter + 2 * jitter * randomness.fraction()));
    }

    /** Asks sooner than at the interval: a leader waits to hear that this daemon has applied a change. */
    hasten(): void {
        const { timing, randomness } = this.options;
        this.askAfter(timing.viewInterval * hastePart * randomness.fraction());
    }

    /** Stops asking; answers still on their way are dropped. */
    close(): void {
        this.closed = true;
        this.cancelTimer?.();
        for (const control of this.controls) {
            control.link.close();
        }
    }

    private askAfter(milliseconds: number): void {
        this.cancelTimer?.();
        if (!this.closed) {
            this.cancelTimer = this.options.clock.after(milliseconds, () => this.start());
        }
    }

    private ask(): void {
        const sentAt = this.options.clock.monotonic();
        const round = ++this.round;
        this.options.lease.asked(round, sentAt);
        const source = this.nextSource(sentAt);
        for (const control of this.controls) {
            // One question at a time: else questions pile up on a silent connection, and a refusal could belong to a
            // connection that was attempted for an earlier round, when the process was still to be started.
            if (!control.asking) {
                void this.question(control, { round, sentAt, wantsSteps: control === source });
            }
        }
    }

    /** Steps come from one control daemon only, in turn, and rather from one that answered lately. */
    private nextSource(now: number): Control | undefined {
        // A whole view on its way takes a while. Asked for again from another, it would come twice, and slower for it.
        if (
            this.controls.some(({ askedForSteps }) =>
                askedForSteps !== undefined && now < askedForSteps + this.patience()
            )
        ) {
            return undefined;
        }
        for (let tried = 0; tried < this.controls.length; tried++) {
            this.source = (this.source + 1) % this.controls.length;
            const control = this.controls[this.source]!;
            if (control.answers && !control.asking) {
                return control;
            }
        }
        return this.controls.find(control => !control.asking);
    }

    private async question(control: Control, question: Question): Promise<void> {
        const { session, progress, timing } = this.options;
        const renewals = this.renewals.pending();
        const { name } = control.address;
        const crashes = this.options.crashes?.question(name);
        const request: PeerRequest = {
            kind: "confirmView",
            session,
            ...progress(),
            renewals: renewals.list,
            wantsSteps: question.wantsSteps,
            ...crashes === undefined ? {} : { crashes: crashes.question },
        };
        control.asking = true;
        control.askedForSteps = question.wantsSteps ? question.sentAt : undefined;
        // A whole view takes longer to come than a bare confirmation.
        const patience = this.patience() + (question.wantsSteps ? timing.viewLease : 0);
        const answer = await control.link.request(request, patience);
        control.asking = false;
        control.askedForSteps = undefined;
        control.answers = answer.isRight();
        if (this.closed) {
            return;
        }
        answer.caseOf({
            Left: failure => this.failed(control, question, failure),
            Right: body => {
                this.renewals.told(renewals.upTo);
                this.answered(control, question, body, crashes?.count ?? 0);
            },
        });
    }

    private patience(): number {
        return this.options.timing.viewInterval * patienceInIntervals;
    }

    private failed(control: Control, question: Question, failure: LinkFailure): void {
        if (failure.kind === "refused" && control.voter !== undefined) {
            this.options.lease.refused(question.round, control.voter, this.options.clock.monotonic());
        }
        if (failure.kind === "timeout") {
            // After a silent cut TCP repeats what was sent at growing distances, for minutes after the network is whole
            // again. A new connection gets through at once.
            control.link.close();
            control.link = this.options.network.link(control.address);
        }
    }

    private answered(control: Control, question: Question, body: unknown, told: number): void {
        const answer = readViewAnswer(body);
        answer.caseOf({
            Left: message => {
                this.options.logger.warn("a control daemon gave no view answer", { control: control.address, message });
            },
            Right: viewAnswer => {
                control.voter = viewAnswer.voter;
                if (viewAnswer.crashes !== undefined) {
                    this.options.crashes?.answered(control.address.name, told, viewAnswer.crashes);
                }
                this.options.onAnswer(viewAnswer);
                this.options.lease.answered(question.round, viewAnswer);
            },
        });
    }
}

/** What a confirmer works with. */
export type ConfirmerOptions = {
    readonly session: Incarnation;
    readonly controls: readonly ControlAddress[];
    readonly timing: Timing;
    readonly network: Network;
    readonly clock: Clock;
    readonly randomness: Randomness;
    readonly logger: Logger;
    readonly lease: ViewLease;
    /** What goes along of requests under which backend servers ended. @default nothing does */
    readonly crashes?: CrashExchange | undefined;
    /** How far this daemon's view has come. */
    readonly progress: () => { readonly applied: number; readonly revision: number; };
    /** Takes the steps or the snapshot of an answer, before the answer counts for the lease. */
    readonly onAnswer: (answer: ViewAnswer) => void;
};

function readViewAnswer(body: unknown): Either<string, ViewAnswer> {
    const parsed = peerAnswerSchema.safeParse(body);
    if (!parsed.success) {
        return Left(parsed.error.message);
    }
    if (parsed.data.kind !== "viewAnswer") {
        return Left(`an answer of kind ${parsed.data.kind}`);
    }
    return Right(parsed.data);
}
