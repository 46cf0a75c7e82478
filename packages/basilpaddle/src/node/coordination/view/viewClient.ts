/** Follows the control daemons' view by way of their links, and keeps this daemon's session open there. */
import type { Either } from "purify-ts";
import type { Command, CommandResult, Incarnation, Timing, View } from "../../protocol/index.js";
import { commandOf, ViewState } from "../../state/index.js";
import type { Network } from "../../transport/index.js";
import type { Clock, Logger, Randomness } from "../../utils/index.js";
import { ControlClient, type Undecided } from "../controlClient.js";
import { CrashExchange, type HeldRequests } from "../quarantine/index.js";
import { Confirmer, type ViewAnswer } from "./confirmer.js";
import { type ControlAddress, Proposer } from "./proposer.js";
import { SessionKeeper, type SessionPlace } from "./sessionKeeper.js";
import { type LeaseGap, ViewLease } from "./viewLease.js";

/** What a client of the control daemons works with. */
export type PeerControlClientOptions = {
    /** This start of the daemon. */
    readonly session: Incarnation;
    readonly failureDomain: string;
    /** Where other daemons reach this one. */
    readonly peers: SessionPlace["peers"];
    readonly controls: readonly ControlAddress[];
    readonly timing: Timing;
    readonly network: Network;
    readonly clock: Clock;
    readonly randomness: Randomness;
    readonly logger: Logger;
    /** This daemon's copy of what is known of requests under which backend servers ended. @default none */
    readonly held?: HeldRequests | undefined;
};

/** Why no new work may start now. */
export type StartGap =
    | LeaseGap
    | { readonly kind: "noSession"; }
    /** Another process runs under this daemon's name. */
    | { readonly kind: "replaced"; readonly by: Incarnation; }
    | { readonly kind: "closed"; };

/** A control client that reaches the control daemons over links. */
export class PeerControlClient extends ControlClient {
    private state = ViewState.create();
    private readonly lease: ViewLease;
    private readonly proposer: Proposer;
    private readonly confirmer: Confirmer;
    private readonly sessions: SessionKeeper;
    private readonly crashes: CrashExchange | undefined;
    private readonly listeners = new Set<(view: View) => void>();
    private readonly logger: Logger;
    private closed = false;

    private constructor(private readonly options: PeerControlClientOptions) {
        super();
        this.logger = options.logger.getSubLogger({ name: "view" });
        this.lease = ViewLease.create(options.timing);
        this.proposer = Proposer.create(options);
        this.sessions = SessionKeeper.create({ ...options, logger: this.logger, proposer: this.proposer });
        this.crashes = options.held && CrashExchange.create(options.held);
        this.confirmer = Confirmer.create({
            ...options,
            crashes: this.crashes,
            logger: this.logger,
            lease: this.lease,
            progress: () => ({ applied: this.view().index, revision: this.view().configuration.revision }),
            onAnswer: answer => this.follow(answer),
        });
    }

    /** Begins at once to ask for the view and to open the session. */
    static create(options: PeerControlClientOptions): PeerControlClient {
        const client = new PeerControlClient(options);
        client.confirmer.start();
        client.sessions.keep(client.view());
        return client;
    }

    override session(): Incarnation {
        return this.options.session;
    }

    override view(): View {
        return this.state.view();
    }

    override mayStart(): boolean {
        return !this.closed && this.sessions.isOpen() && this.lease.runs(this.options.clock.monotonic());
    }

    /** Why no new work may start now; undefined if it may. */
    startGap(): StartGap | undefined {
        if (this.closed) {
            return { kind: "closed" };
        }
        const by = this.sessions.replacedBy();
        if (by !== undefined) {
            return { kind: "replaced", by };
        }
        const { gap } = this.lease.standing(this.options.clock.monotonic());
        return gap ?? (this.sessions.isOpen() ? undefined : { kind: "noSession" });
    }

    /** Monotonic milliseconds until which the view is confirmed; undefined before the first time. */
    confirmedUntil(): number | undefined {
        return this.lease.standing(this.options.clock.monotonic()).confirmedUntil;
    }

    override onView(listener: (view: View) => void): () => void {
        this.listeners.add(listener);
        return () => this.listeners.delete(listener);
    }

    /** Calls the listener once another process runs under this daemon's name. This daemon never starts work again and should end. */
    onReplaced(listener: (by: Incarnation) => void): () => void {
        return this.sessions.onReplaced(listener);
    }

    override async propose(command: Command, timeout: number): Promise<Either<Undecided, CommandResult>> {
        const proposed = await this.proposer.propose(command, timeout);
        return proposed.map(held => held.result);
    }

    override noteRenewal(id: string, incarnation: number): void {
        this.confirmer.noteRenewal(id, incarnation);
    }

    /** Tells the control daemons soon of requests under which backend servers ended. */
    tellCrashes(digests: readonly string[]): void {
        digests.forEach(digest => this.crashes?.note(digest));
        this.confirmer.hasten();
    }

    override async close(): Promise<void> {
        if (this.closed) {
            return;
        }
        this.closed = true;
        this.confirmer.close();
        await this.sessions.close();
        this.proposer.close();
        this.listeners.clear();
    }

    /** Takes over what an answer brings. Steps follow on what this daemon had applied when it asked, or on the snapshot. */
    private follow(answer: ViewAnswer): void {
        this.proposer.noteLeader(answer.leader);
        const before = this.view();
        if (answer.snapshot !== undefined && answer.snapshot.index > before.index) {
            this.state = ViewState.fromSnapshot(answer.snapshot);
        }
        for (const step of answer.steps ?? []) {
            // An answer that was overtaken by another one brings steps again that are applied already.
            if (step.index > this.view().index) {
                this.state.apply(step.index, commandOf(step, this.view()));
                this.sessions.notice(this.view());
            }
        }
        if (this.view() !== before) {
            this.moved();
        }
    }

    private moved(): void {
        const view = this.view();
        this.lease.applied(view.index);
        this.sessions.keep(view);
        this.confirmer.hasten();
        for (const listener of [...this.listeners]) {
            listener(view);
        }
    }
}
