import type { CrashPhase } from "../../protocol/index.js";
import type { Listening } from "../../transport/index.js";
import type { Clock, Logger, Metrics } from "../../utils/index.js";
import type { HeldRequests } from "./heldRequests.js";
import type { Hold } from "./quarantine.js";

/** Milliseconds in which word of a server's end may follow a run that broke off, and between two looks for it. */
const wordPatience = 8_000;
const wordPoll = 250;
/** Runs that broke off and wait for such word; with each engine that falls silent go dozens. */
const mostWaiting = 1_000;

/** One arrival of a request. */
export type Arrived = {
    /** Names what it holds. */
    readonly digest: string;
    /** Identifier of the attempt, for logs. */
    readonly attempt: string;
};

/** One life of a backend server. */
export type ServerLife = {
    /** Identifier of the incarnation, for logs and other daemons. */
    readonly id: string;
    /** "HOST:PORT". */
    readonly address: string;
};

/** A run that broke off. */
type LostRun = Arrived & {
    readonly server: ServerLife;
    readonly phase: CrashPhase;
    readonly at: number;
};

/** What a watch works with. */
export type CrashWatchOptions = {
    readonly held: HeldRequests;
    /** Whether word has come that the incarnation of this identifier is gone. */
    readonly isGone: (id: string) => boolean;
    /** Looks whether anything takes connections at an address. */
    readonly listens: (address: string) => Promise<Listening>;
    readonly clock: Clock;
    readonly logger: Logger;
    readonly metrics: Metrics;
};

/**
 * Finds out which backend servers ended under the requests of this daemon, and which requests may not be sent for it.
 * A connection that breaks says little: it may have been reset, or the answer lost. What counts is that nothing
 * listens at the server's address any more, or that heartbeats say so.
 */
export class CrashWatch {
    private readonly looking = new Map<string, Promise<Listening>>();
    private waiting: LostRun[] = [];
    private cancelPoll: (() => void) | undefined;

    private constructor(private readonly options: CrashWatchOptions) {}

    static create(options: CrashWatchOptions): CrashWatch {
        return new CrashWatch(options);
    }

    /** Why a request may not be sent now; undefined where it may. To be asked before each sending: others learn meanwhile. */
    hold(request: Arrived): Hold | undefined {
        return this.options.held.hold(request.digest);
    }

    /** A run broke off. */
    async lost({ digest, attempt }: Arrived, server: ServerLife, phase: CrashPhase): Promise<void> {
        const run = { server, digest, attempt, phase, at: this.now() };
        if (this.options.held.wasAnsweredLately(digest)) {
            return;
        }
        if (await this.look(server) === "no") {
            this.note(run, "nothing listens at its address");
        }
        else if (this.waiting.length < mostWaiting) {
            // A server that fell silent may have ended long before the run was given up: its first moments say nothing then.
            this.waiting.push({ ...run, phase: phase === "early" ? "late" : phase });
            this.cancelPoll ??= this.options.clock.after(wordPoll, () => this.review());
        }
    }

    /** A request was answered in full. */
    answered({ digest }: Arrived): void {
        this.options.held.answered(digest);
    }

    /** Looks no more. */
    close(): void {
        this.cancelPoll?.();
        this.waiting = [];
    }

    /** One look serves all the runs that broke off with a server. */
    private look(server: ServerLife): Promise<Listening> {
        const known = this.looking.get(server.id);
        if (known !== undefined) {
            return known;
        }
        const look = this.options.listens(server.address).finally(() => this.looking.delete(server.id));
        this.looking.set(server.id, look);
        return look;
    }

    private review(): void {
        const { clock } = this.options;
        const since = this.now() - wordPatience;
        const isGone = ({ server }: LostRun): boolean => this.options.isGone(server.id);
        const gone = this.waiting.filter(isGone);
        this.waiting = this.waiting.filter(run => !isGone(run) && run.at > since);
        gone.forEach(run => this.note(run, "word has come of its end"));
        this.cancelPoll = this.waiting.length === 0 ? undefined : clock.after(wordPoll, () => this.review());
    }

    private note({ server, digest, attempt, phase, at }: LostRun, proof: string): void {
        const { held, logger, metrics } = this.options;
        const age = this.now() - at;
        logger.warn("a backend server ended under a request", {
            request: attempt,
            content: digest,
            server: server.id,
            phase,
            age: Math.round(age),
            proof,
        });
        metrics.count("basilpaddle_crashes_under_requests_total", { phase });
        held.note(digest, { server: server.id, phase, age });
    }

    private now(): number {
        return this.options.clock.monotonic();
    }
}
