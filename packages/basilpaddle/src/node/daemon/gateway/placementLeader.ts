import type { DirectoryWatcher, LeaderDecision } from "../../coordination/index.js";
import {
    type Admission,
    admissionReplySchema,
    allowanceReplySchema,
    type LeaderMessage,
    type LimitObservation,
    type PlacementMessage,
    type PlacementReply,
    placementReplySchema,
    type PlacementRequest,
} from "../../protocol/index.js";
import type { Clock, Logger } from "../../utils/index.js";
import { LeaderTimeout } from "./leaderTimeout.js";

/** Timeout for borrowing a retry. A responsive leader answers at once; with any other it is better to refuse the caller. */
const borrowTimeoutMilliseconds = 150;

/** The leader's answer to a placement request: its decision, or that the request is queued there. */
export type LeaderAnswer = Extract<PlacementReply, { kind: "decided" | "waiting"; }>;

/** Dependencies of the connection to the leader. */
export type PlacementLeaderOptions = {
    /** The gateway's own name. */
    readonly name: string;
    readonly watcher: DirectoryWatcher;
    readonly clock: Clock;
    readonly logger: Logger;
    /** Called when a leader answers again after one was found unresponsive. */
    readonly onRecovered: () => void;
};

/**
 * One gateway's connection to the leading directory. After one request has timed out, the leader is only probed, separately
 * from all requests. Otherwise each request would wait for the full timeout, as every third did with hundreds of gateways
 * while a leader was unresponsive for two seconds.
 */
export class PlacementLeader {
    private readonly timeout = LeaderTimeout.create();
    private unresponsive = false;
    private unresponsiveSince = 0;
    private unresponsiveName: string | undefined;
    private isProbing = false;

    private constructor(private readonly options: PlacementLeaderOptions) {}

    static create(options: PlacementLeaderOptions): PlacementLeader {
        return new PlacementLeader(options);
    }

    /** Whether requests may be sent to the leader: it answers, or it isn't the one that was found unresponsive. */
    isAvailable(): boolean {
        const leader = this.options.watcher.leader();
        return !this.unresponsive || (leader !== undefined && leader !== this.unresponsiveName);
    }

    /** Since when the leader hasn't answered; undefined while requests may be sent to it. */
    silentSince(): number | undefined {
        return this.isAvailable() ? undefined : this.unresponsiveSince;
    }

    /** Requests a placement; undefined if no leader answers. */
    async requestPlacement(placementRequest: PlacementRequest): Promise<LeaderAnswer | undefined> {
        const { watcher, clock } = this.options;
        const leader = watcher.leader();
        const askedAt = clock.monotonic();
        const answer = await this.request(
            leader,
            { kind: "place", demand: placementRequest },
            this.timeout.timeout(askedAt),
        );
        if (answer?.kind === "decided" || answer?.kind === "waiting") {
            this.recordAnswer(leader, answer.term, askedAt);
            return answer;
        }
        this.recordNoAnswer(leader, answer?.kind ?? "none");
        return undefined;
    }

    /** Borrows a retry beyond this gateway's share of a service's allowance; false if the leader grants none. */
    async borrowRetry(service: string): Promise<boolean> {
        const { watcher, name } = this.options;
        if (!this.isAvailable()) {
            return false;
        }
        const borrow = { kind: "borrow", gateway: name, service } as const;
        const answer = await this.request(watcher.leader(), borrow, borrowTimeoutMilliseconds);
        return answer?.kind === "lent" && answer.granted;
    }

    /** Charges a request to its organisation; undefined if no leader answers. */
    async charge(organisation: string, cost: number, rank: number | undefined): Promise<LeaderDecision | undefined> {
        const { watcher, name, clock } = this.options;
        const leader = watcher.leader();
        const askedAt = clock.monotonic();
        const message = { kind: "charge", gateway: name, organisation, cost, rank } as const;
        const answer = await this.requestAny(leader, message, this.timeout.timeout(askedAt));
        const reply = allowanceReplySchema.safeParse(answer).data;
        if (reply?.kind === "charged") {
            return { ...reply.decision, term: reply.term };
        }
        this.recordNoAnswer(leader, reply?.kind ?? "none");
        return undefined;
    }

    /** Asks to send a request to a backend server that names a limit; undefined if no leader answers. */
    async admit(observed: LimitObservation, within: number): Promise<Admission | undefined> {
        const { watcher, clock } = this.options;
        const leader = watcher.leader();
        const answer = await this.requestAny(
            leader,
            { kind: "admit", observed, within },
            this.timeout.timeout(clock.monotonic()),
        );
        const reply = admissionReplySchema.safeParse(answer).data;
        if (reply?.kind === "admission") {
            return reply.admission;
        }
        this.recordNoAnswer(leader, reply?.kind ?? "none");
        return undefined;
    }

    /** Checks whether an unresponsive leader answers again; to be called every few hundred milliseconds. */
    async probe(): Promise<void> {
        const { watcher, name, clock } = this.options;
        if (!this.unresponsive || this.isProbing) {
            return;
        }
        this.isProbing = true;
        const leader = watcher.leader();
        const askedAt = clock.monotonic();
        const answer = await this.request(leader, { kind: "probe", gateway: name }, this.timeout.probeTimeout());
        this.isProbing = false;
        if (answer?.kind === "leading") {
            this.recordAnswer(leader, answer.term, askedAt);
        }
    }

    /** Sends a message that has no reply. */
    send(message: LeaderMessage): void {
        const leader = this.options.watcher.leader();
        if (leader !== undefined) {
            this.options.watcher.link(leader)?.send(message);
        }
    }

    private async request(
        leader: string | undefined,
        message: PlacementMessage,
        timeout: number,
    ): Promise<PlacementReply | undefined> {
        return placementReplySchema.safeParse(await this.requestAny(leader, message, timeout)).data;
    }

    private async requestAny(
        leader: string | undefined,
        message: LeaderMessage,
        timeout: number,
    ): Promise<unknown> {
        const link = leader === undefined ? undefined : this.options.watcher.link(leader);
        const answer = await link?.request(message, timeout);
        return answer?.toMaybe().extract();
    }

    private recordAnswer(leader: string | undefined, term: number, askedAt: number): void {
        const { clock, logger, onRecovered } = this.options;
        const now = clock.monotonic();
        this.timeout.recordAnswer(now - askedAt, now);
        if (this.unresponsive) {
            this.unresponsive = false;
            logger.info("the placement leader answers again", { leader, term });
            onRecovered();
        }
    }

    private recordNoAnswer(leader: string | undefined, answer: string): void {
        this.unresponsiveName = leader;
        if (!this.unresponsive) {
            this.unresponsive = true;
            this.unresponsiveSince = this.options.clock.monotonic();
            this.options.logger.warn("the placement leader doesn't answer; placing locally", { asked: leader, answer });
        }
    }
}
