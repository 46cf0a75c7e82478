import { LRUCache } from "lru-cache";
import type { Admission, LimitObservation, ServerLimitMessage } from "../../protocol/index.js";
import { type Clock, hashToFraction, type Logger, type Metrics } from "../../utils/index.js";
import { RequestPacer } from "./requestPacer.js";
import { ServerLimits } from "./serverLimits.js";

/** Maximum number of servers for which the time of their next room is remembered. */
const maxServers = 4_096;
/** Fraction of a limit that all gateways use together while no leader answers, in equal shares; some may still reach one. */
const ownShareFraction = 0.4;
/** Interval of repeating a limit to the leader while answers name it: a new leader learns of it. */
const repeatIntervalMilliseconds = 1_000;
/** Age of the last observation from which a server is preferred for one request. */
const overdueMilliseconds = 2_000;
/**
 * Gateways that the leader refused ask again after a random delay, so that over all gateways about this many questions come
 * with each admitted request; and the longest such delay.
 */
const questionsPerAdmission = 4;
const maxQuestionDelayMilliseconds = 2_000;
const millisecondsInSecond = 1_000;

/** The leader's side of the limits, as a gateway reaches it. */
export type LimitLeader = {
    /** Whether a leader is believed to answer. */
    readonly isAvailable: () => boolean;
    /** Asks to send a request to a server that names a limit; undefined if no leader answers. */
    readonly admit: (observed: LimitObservation, within: number) => Promise<Admission | undefined>;
    /** Sends a message that has no reply. */
    readonly send: (message: ServerLimitMessage) => void;
};

/** Dependencies of the admission. */
export type ServerAdmissionOptions = {
    /** The gateway's own name. */
    readonly name: string;
    readonly leader: LimitLeader;
    /** Upper bound of the number of gateways. */
    readonly gateways: () => number;
    readonly clock: Clock;
    readonly logger: Logger;
    readonly metrics: Metrics;
};

/**
 * Admits requests to backend servers that name a limit. An answer tells one gateway; it tells the leader, which tells all
 * and admits the requests of all, so that their sum keeps the limit however unevenly callers use the gateways. Without a
 * leader each gateway admits its equal share of a part of the limit.
 */
export class ServerAdmission {
    private readonly limits = ServerLimits.create();
    private ownPacer = RequestPacer.create();
    /** When each server that had no room may have some again. */
    private readonly roomAt = new LRUCache<string, number>({ max: maxServers });
    /** When each server's limit was last reported to the leader. */
    private readonly reportedAt = new LRUCache<string, number>({ max: maxServers });

    private constructor(private readonly options: ServerAdmissionOptions) {}

    static create(options: ServerAdmissionOptions): ServerAdmission {
        return new ServerAdmission(options);
    }

    /** Records what an answer of a server named; undefined if it names no limit. */
    observeAnswer(server: string, limit: number | undefined): void {
        const now = this.now();
        const isChange = this.limits.observe(server, limit, now);
        if (isChange) {
            this.logChange(server, limit, 0, "answer");
        }
        const isRepeat = limit !== undefined
            && now - (this.reportedAt.get(server) ?? Number.NEGATIVE_INFINITY) >= repeatIntervalMilliseconds;
        if (isChange || isRepeat) {
            this.reportedAt.set(server, now);
            const named = limit === undefined ? {} : { limit };
            this.options.leader.send({ kind: "limits", observed: [{ server, age: 0, ...named }] });
        }
    }

    /** Applies what the leader has heard from all gateways. */
    observeLeader(observed: readonly LimitObservation[]): void {
        for (const { server, limit, age } of observed) {
            if (this.limits.observe(server, limit, this.now() - age)) {
                this.logChange(server, limit, age, "leader");
            }
        }
    }

    /** Requests per second that a server takes from all gateways together; undefined if it names no limit. */
    limitOf(server: string): number | undefined {
        return this.limits.limitOf(server);
    }

    /** Milliseconds until a server may have room, as far as is known here; 0 if it may have room now. */
    timeUntilRoom(server: string): number {
        return this.limitOf(server) === undefined ? 0 : Math.max(0, (this.roomAt.get(server) ?? 0) - this.now());
    }

    /**
     * Whether nothing has been heard for a while of a server that names a limit and may have room. One that is the best
     * choice for no request would otherwise never get what it takes, and nobody would learn that its limit has ended.
     */
    isOverdue(server: string): boolean {
        const age = this.limits.observation(server, this.now())?.age ?? 0;
        return age > overdueMilliseconds && this.timeUntilRoom(server) === 0;
    }

    /**
     * Admits a request to a server, and waits until it may be sent; returns false if the server has no room for it within the
     * given milliseconds.
     */
    async admit(server: string, within: number): Promise<boolean> {
        const observed = this.limits.observation(server, this.now());
        if (observed === undefined) {
            return true;
        }
        const admission = await this.decide(observed, within);
        if (!admission.admitted) {
            this.roomAt.set(server, this.now() + admission.comeBackIn + this.questionDelay(server));
            return false;
        }
        if (admission.wait > 0) {
            await new Promise<void>(resolve => this.options.clock.after(admission.wait, resolve));
        }
        return true;
    }

    /** Updates the gauges. */
    measure(metrics: Metrics): void {
        metrics.gauge("basilpaddle_servers_with_limit", this.limits.count());
    }

    private async decide(observed: LimitObservation, within: number): Promise<Admission> {
        const { leader, gateways } = this.options;
        const fromLeader = leader.isAvailable() ? await leader.admit(observed, within) : undefined;
        if (fromLeader !== undefined) {
            // The next time without a leader begins with empty buckets again.
            this.ownPacer = RequestPacer.create();
            this.count(fromLeader.admitted ? "leader" : "refusedByLeader");
            return fromLeader;
        }
        const { server } = observed;
        const limit = this.limitOf(server);
        if (limit === undefined) {
            // It ended while the leader was asked.
            return { admitted: true, wait: 0 };
        }
        const rate = limit * ownShareFraction;
        const share = rate / Math.max(1, gateways());
        const admitted = this.ownPacer.admitByChance(server, share, this.chance(server), this.now());
        this.count(admitted ? "ownShare" : "refusedByOwnShare");
        return admitted ? { admitted, wait: 0 } : { admitted, comeBackIn: millisecondsInSecond / rate };
    }

    /** Milliseconds by which this gateway's next question follows the time at which there is room. */
    private questionDelay(server: string): number {
        const limit = this.limitOf(server) ?? Number.POSITIVE_INFINITY;
        const interval = this.options.gateways() * millisecondsInSecond / (questionsPerAdmission * limit);
        return this.chance(server) * Math.min(maxQuestionDelayMilliseconds, interval);
    }

    private chance(server: string): number {
        return hashToFraction(`${this.options.name} ${server} ${this.now()}`);
    }

    private logChange(server: string, limit: number | undefined, age: number, source: "answer" | "leader"): void {
        this.options.logger.info("the limit that a backend server names changed", {
            server,
            limit,
            age: Math.round(age),
            source,
        });
    }

    private count(outcome: "leader" | "ownShare" | "refusedByLeader" | "refusedByOwnShare"): void {
        this.options.metrics.count("basilpaddle_limited_sends_total", { outcome });
    }

    private now(): number {
        return this.options.clock.monotonic();
    }
}
