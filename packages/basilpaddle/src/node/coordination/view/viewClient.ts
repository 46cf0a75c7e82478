/** Replicates the control daemons' view over links and keeps this daemon's session open there. */
import type { Either } from "purify-ts";
import type { Command, CommandResult, Incarnation, Timing, View } from "../../protocol/index.js";
import { expandedCommand, ViewState } from "../../state/index.js";
import type { Network } from "../../transport/index.js";
import type { Clock, Logger, Randomness } from "../../utils/index.js";
import { ControlClient, type Undecided } from "../controlClient.js";
import { CrashExchange, type QuarantinedRequests } from "../quarantine/index.js";
import { type ControlAddress, Proposer } from "./proposer.js";
import { type DaemonLocation, SessionKeeper } from "./sessionKeeper.js";
import { type LeaseBlocker, ViewLease } from "./viewLease.js";
import { type ViewAnswer, ViewPoller } from "./viewPoller.js";

/** Options of a client of the control daemons. */
export type PeerControlClientOptions = {
    /** This incarnation of the daemon. */
    readonly session: Incarnation;
    readonly failureDomain: string;
    /** Address at which other daemons connect to this one. */
    readonly peers: DaemonLocation["peers"];
    readonly controls: readonly ControlAddress[];
    readonly timing: Timing;
    readonly network: Network;
    readonly clock: Clock;
    readonly randomness: Randomness;
    readonly logger: Logger;
    /** This daemon's records of requests that backend servers were running when they crashed. @default none */
    readonly quarantined?: QuarantinedRequests | undefined;
};

/** Reason why no new work may start now. */
export type StartBlocker =
    | LeaseBlocker
    | { readonly kind: "noSession"; }
    /** Another process has opened a session under this daemon's name. */
    | { readonly kind: "replaced"; readonly by: Incarnation; }
    | { readonly kind: "closed"; };

/** A control client that connects to the control daemons over links. */
export class PeerControlClient extends ControlClient {
    private state = ViewState.create();
    private readonly lease: ViewLease;
    private readonly proposer: Proposer;
    private readonly poller: ViewPoller;
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
        this.crashes = options.quarantined && CrashExchange.create(options.quarantined);
        this.poller = ViewPoller.create({
            ...options,
            crashes: this.crashes,
            logger: this.logger,
            lease: this.lease,
            progress: () => ({ applied: this.view().index, revision: this.view().configuration.revision }),
            onAnswer: answer => this.applyAnswer(answer),
        });
    }

    /** Starts polling the view and opening the session at once. */
    static create(options: PeerControlClientOptions): PeerControlClient {
        const client = new PeerControlClient(options);
        client.poller.start();
        client.sessions.ensureOpen(client.view());
        return client;
    }

    override session(): Incarnation {
        return this.options.session;
    }

    override view(): View {
        return this.state.view();
    }

    override mayStart(): boolean {
        return !this.closed && this.sessions.isOpen() && this.lease.isValid(this.options.clock.monotonic());
    }

    /** The reason why no new work may start now; undefined if it may. */
    startBlocker(): StartBlocker | undefined {
        if (this.closed) {
            return { kind: "closed" };
        }
        const by = this.sessions.replacedBy();
        if (by !== undefined) {
            return { kind: "replaced", by };
        }
        const { blocker } = this.lease.status(this.options.clock.monotonic());
        return blocker ?? (this.sessions.isOpen() ? undefined : { kind: "noSession" });
    }

    /** Monotonic milliseconds at which the view lease expires; undefined before the first confirmation. */
    confirmedUntil(): number | undefined {
        return this.lease.status(this.options.clock.monotonic()).confirmedUntil;
    }

    override onView(listener: (view: View) => void): () => void {
        this.listeners.add(listener);
        return () => this.listeners.delete(listener);
    }

    /**
     * Calls the listener once another process has opened a session under this daemon's name. This process then never
     * starts work again and should exit. Returns the unsubscribe function.
     */
    onReplaced(listener: (by: Incarnation) => void): () => void {
        return this.sessions.onReplaced(listener);
    }

    override async propose(command: Command, timeout: number): Promise<Either<Undecided, CommandResult>> {
        const proposed = await this.proposer.propose(command, timeout);
        return proposed.map(committed => committed.result);
    }

    override recordRenewal(id: string, incarnation: number): void {
        this.poller.recordRenewal(id, incarnation);
    }

    /**
     * Sends the records of requests that backend servers were running when they crashed to the control daemons, with an
     * early poll.
     */
    reportCrashes(digests: readonly string[]): void {
        digests.forEach(digest => this.crashes?.markChanged(digest));
        this.poller.pollSoon();
    }

    override async close(): Promise<void> {
        if (this.closed) {
            return;
        }
        this.closed = true;
        this.poller.close();
        await this.sessions.close();
        this.proposer.close();
        this.listeners.clear();
    }

    /** Applies an answer. Its steps continue from its snapshot, or else from the index that was sent in the request. */
    private applyAnswer(answer: ViewAnswer): void {
        this.proposer.recordLeader(answer.leader);
        const previousView = this.view();
        if (answer.snapshot !== undefined && answer.snapshot.index > previousView.index) {
            this.state = ViewState.fromSnapshot(answer.snapshot);
        }
        for (const step of answer.steps ?? []) {
            // An answer that arrives after a newer one contains steps that are already applied.
            if (step.index > this.view().index) {
                this.state.apply(step.index, expandedCommand(step, this.view()));
                this.sessions.observe(this.view());
            }
        }
        if (this.view() !== previousView) {
            this.handleViewChange();
        }
    }

    private handleViewChange(): void {
        const view = this.view();
        this.lease.recordApplied(view.index);
        this.sessions.ensureOpen(view);
        this.poller.pollSoon();
        for (const listener of [...this.listeners]) {
            listener(view);
        }
    }
}
