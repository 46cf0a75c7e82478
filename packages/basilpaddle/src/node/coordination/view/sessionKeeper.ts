/** Keeps the session of this incarnation of the daemon open at the control daemons. */
import type { Incarnation, Timing, View } from "../../protocol/index.js";
import type { Clock, Logger } from "../../utils/index.js";
import type { Proposer } from "./proposer.js";

/**
 * Location of the daemon as published in its session: its failure domain, and the address at which other daemons connect.
 */
export type DaemonLocation = {
    readonly failureDomain: string;
    readonly peers: { readonly host: string; readonly port: number; };
};

/** Options of a session keeper. */
export type SessionKeeperOptions = DaemonLocation & {
    readonly session: Incarnation;
    readonly timing: Timing;
    readonly clock: Clock;
    readonly logger: Logger;
    readonly proposer: Proposer;
};

/** Timeout of one proposal to open the session. After it, the opening is proposed again. */
const openTimeoutMilliseconds = 5_000;

/** Opens the session, reopens it after it timed out, and detects another process that runs under the same daemon name. */
export class SessionKeeper {
    private readonly listeners = new Set<(by: Incarnation) => void>();
    private view: View | undefined;
    /** Log index at which the session was last opened. If a newer view lacks the session, it has been closed since. */
    private openedAt: number | undefined;
    private opening = false;
    private replacement: Incarnation | undefined;
    private closed = false;

    private constructor(private readonly options: SessionKeeperOptions) {}

    static create(options: SessionKeeperOptions): SessionKeeper {
        return new SessionKeeper(options);
    }

    /** Whether the newest view contains the session of this incarnation. */
    isOpen(): boolean {
        return this.replacement === undefined && this.isOwn(this.sessionInView());
    }

    /** The other incarnation that has opened a session under this daemon's name; undefined if there is none. */
    replacedBy(): Incarnation | undefined {
        return this.replacement;
    }

    /** Calls the listener once another process has opened a session under this name. Returns the unsubscribe function. */
    onReplaced(listener: (by: Incarnation) => void): () => void {
        this.listeners.add(listener);
        return () => this.listeners.delete(listener);
    }

    /**
     * Checks the view for a replacement after each applied step. If only the result of a whole batch were checked, another
     * process whose session was opened and closed within the batch would not be detected, and the two processes would keep
     * replacing each other.
     */
    observe(view: View): void {
        const wasOwn = this.isOwn(this.sessionInView());
        this.view = view;
        const current = this.sessionInView();
        if (this.replacement === undefined && wasOwn && current !== undefined && !this.isOwn(current)) {
            this.handleReplacement(current);
        }
    }

    /** Checks a new view for the session and opens it if it is missing. */
    ensureOpen(view: View): void {
        this.observe(view);
        if (this.closed || this.replacement !== undefined) {
            return;
        }
        const current = this.sessionInView();
        if (this.isOwn(current)) {
            this.openedAt ??= view.index;
            return;
        }
        const viewIncludesOpening = this.openedAt !== undefined && view.index >= this.openedAt;
        if (current !== undefined && viewIncludesOpening) {
            this.handleReplacement(current);
            return;
        }
        if (this.openedAt === undefined || viewIncludesOpening) {
            void this.open();
        }
    }

    /**
     * Closes the session, which releases its leases at once. Gives up after four election timeouts; then the session
     * times out.
     */
    async close(): Promise<void> {
        this.closed = true;
        this.listeners.clear();
        if (this.replacement !== undefined || this.openedAt === undefined) {
            return;
        }
        const { session, clock, proposer, timing, logger } = this.options;
        const closed = await proposer.propose(
            { kind: "closeSession", session, reason: "left", at: clock.wall() },
            timing.electionTimeout * 4,
        );
        closed.ifLeft(undecided => {
            logger.warn("could not close the session; it stays open until it times out", undecided);
        });
    }

    private async open(): Promise<void> {
        if (this.opening) {
            return;
        }
        this.opening = true;
        const { session, failureDomain, peers, clock, proposer, logger } = this.options;
        const result = await proposer.propose(
            { kind: "openSession", session, failureDomain, peers, at: clock.wall() },
            openTimeoutMilliseconds,
        );
        this.opening = false;
        result.ifLeft(undecided => {
            logger.warn("could not open the session", undecided);
        }).ifRight(committed => {
            this.openedAt = committed.index;
            logger.info("session opened", { session, index: committed.index });
        });
        // The view may have advanced during the proposal, with or without the opened session.
        if (this.view !== undefined) {
            this.ensureOpen(this.view);
        }
    }

    private handleReplacement(by: Incarnation): void {
        this.replacement = by;
        this.options.logger.error(
            "another process uses this daemon's name; this process accepts no new work and must be stopped. "
                + "Give each daemon a unique name, or stop the old process before starting a new one.",
            { session: this.options.session, by },
        );
        for (const listener of [...this.listeners]) {
            listener(by);
        }
    }

    private sessionInView(): Incarnation | undefined {
        return this.view?.sessions[this.options.session.daemon]?.session;
    }

    private isOwn(session: Incarnation | undefined): boolean {
        return session !== undefined && session.incarnation === this.options.session.incarnation;
    }
}
