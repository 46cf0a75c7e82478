import type { DirectoryWatcher } from "../../coordination/index.js";
import { type PlaceDemand, type Placing, type PlacingAnswer, placingAnswerSchema } from "../../protocol/index.js";
import type { Clock, Logger } from "../../utils/index.js";
import { LeaderTimeout } from "./leaderTimeout.js";

/** Milliseconds for the leader to lend a repeat. It answers at once, or the caller is better told to come back. */
const borrowTimeout = 150;

/** What the leader says to a demand: its decision, or that it waits there. */
export type LeaderAnswer = Extract<PlacingAnswer, { kind: "decided" | "waiting"; }>;

/** What the leader is reached with. */
export type PlacingLeaderOptions = {
    /** The gateway's own name. */
    readonly name: string;
    readonly watcher: DirectoryWatcher;
    readonly clock: Clock;
    readonly logger: Logger;
    /** Called when a leader answers again after one had been given up. */
    readonly onRegained: () => void;
};

/**
 * The directory that places, as one gateway reaches it. One request finds out that it gives no answer; from then on it is
 * only probed, beside all requests: each of these would wait for its whole patience, and by hundreds of gateways every
 * third request did while a leader was away for two seconds.
 */
export class PlacingLeader {
    private readonly timeout = LeaderTimeout.create();
    private lost = false;
    private lostName: string | undefined;
    private probing = false;

    private constructor(private readonly options: PlacingLeaderOptions) {}

    static create(options: PlacingLeaderOptions): PlacingLeader {
        return new PlacingLeader(options);
    }

    /** Whether a leader is known that may be asked: another one than the one that gave no answer. */
    mayAnswer(): boolean {
        const leader = this.options.watcher.leader();
        return !this.lost || (leader !== undefined && leader !== this.lostName);
    }

    /** Asks for a place; undefined where no leader answers. */
    async ask(demand: PlaceDemand): Promise<LeaderAnswer | undefined> {
        const { watcher, clock } = this.options;
        const leader = watcher.leader();
        const askedAt = clock.monotonic();
        const answer = await this.request(leader, { kind: "place", demand }, this.timeout.timeout(askedAt));
        if (answer?.kind === "decided" || answer?.kind === "waiting") {
            this.noteAnswer(leader, answer.term, askedAt);
            return answer;
        }
        this.noteLoss(leader, answer?.kind ?? "none");
        return undefined;
    }

    /** Asks for a repeat beyond this gateway's part of a service's allowance. */
    async borrowRepeat(service: string): Promise<boolean> {
        const { watcher, name } = this.options;
        if (!this.mayAnswer()) {
            return false;
        }
        const borrow = { kind: "borrow", gateway: name, service } as const;
        const answer = await this.request(watcher.leader(), borrow, borrowTimeout);
        return answer?.kind === "lent" && answer.granted;
    }

    /** Asks a leader that gave no answer whether it is there again; to be called every few hundred milliseconds. */
    async probe(): Promise<void> {
        const { watcher, name, clock } = this.options;
        if (!this.lost || this.probing) {
            return;
        }
        this.probing = true;
        const leader = watcher.leader();
        const askedAt = clock.monotonic();
        const answer = await this.request(leader, { kind: "probe", gateway: name }, this.timeout.probeTimeout());
        this.probing = false;
        if (answer?.kind === "leading") {
            this.noteAnswer(leader, answer.term, askedAt);
        }
    }

    /** Says something that has no answer. */
    tell(message: Placing): void {
        const leader = this.options.watcher.leader();
        if (leader !== undefined) {
            this.options.watcher.link(leader)?.send(message);
        }
    }

    private async request(
        leader: string | undefined,
        message: Placing,
        timeout: number,
    ): Promise<PlacingAnswer | undefined> {
        const link = leader === undefined ? undefined : this.options.watcher.link(leader);
        const answer = await link?.request(message, timeout);
        return placingAnswerSchema.safeParse(answer?.toMaybe().extract()).data;
    }

    private noteAnswer(leader: string | undefined, term: number, askedAt: number): void {
        const { clock, logger, onRegained } = this.options;
        const now = clock.monotonic();
        this.timeout.answered(now - askedAt, now);
        if (this.lost) {
            this.lost = false;
            logger.info("a leader places runs again", { leader, term });
            onRegained();
        }
    }

    private noteLoss(leader: string | undefined, answer: string): void {
        this.lostName = leader;
        if (!this.lost) {
            this.lost = true;
            this.options.logger.warn("no leader places runs", { asked: leader, answer });
        }
    }
}
