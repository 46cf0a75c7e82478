import { type Clock, hashToFraction } from "../../utils/index.js";
import type { AnswerDurations } from "./answerDurations.js";
import type { CallerRequest } from "./callerRequest.js";

/** Time in which the balancer detects that a gateway shuts down: two probes a second apart, and a margin. */
export const balancerNoticeMilliseconds = 2_800;
/**
 * How much later than by the earliest time of the signal the period may end, if the signal may have come as much later. The platform ends the
 * process soon after.
 */
const maxUncertaintyMilliseconds = 400;
/** Share of a route's recent answers that must have ended in the time that is left, while callers still count on the gateway. */
const expectedShare = 0.5;
/** How much longer than the longest recent answer of its route a request may take that comes later. */
const lateSafetyFactor = 1.5;
/** Retry-After of a request that another gateway should serve, and the range over which callers' returns are spread. */
const minRetryAfterMilliseconds = 10;
const retryAfterSpreadMilliseconds = 90;
const cannotEnd = "the gateway shuts down before the request could end";
const hasEnded = "the gateway shut down";

/** The time that a gateway has after a stop signal: a limit of every request, like the caller's own. */
export class GracePeriod {
    private handledAt: number | undefined;
    private signalledAt = Number.POSITIVE_INFINITY;
    private endsAt = Number.POSITIVE_INFINITY;

    private constructor(private readonly clock: Clock, private readonly durations: AnswerDurations) {}

    static create(clock: Clock, durations: AnswerDurations): GracePeriod {
        return new GracePeriod(clock, durations);
    }

    /**
     * Begins a period of `duration` milliseconds. `signalledAt`: the earliest time at which the signal may have come; the platform and the
     * callers count from the signal, which is handled later if the event loop lags.
     */
    begin(duration: number, signalledAt = this.clock.monotonic()): void {
        this.handledAt = this.clock.monotonic();
        this.signalledAt = signalledAt;
        this.endsAt = Math.min(this.handledAt, signalledAt + maxUncertaintyMilliseconds) + duration;
    }

    /** Ends it: what comes from now on is refused. */
    endNow(): void {
        this.endsAt = Math.min(this.endsAt, this.clock.monotonic());
    }

    hasBegun(): boolean {
        return this.handledAt !== undefined;
    }

    isOver(): boolean {
        return this.clock.monotonic() >= this.endsAt;
    }

    /** Milliseconds since it began; 0 before. */
    elapsed(): number {
        return this.hasBegun() ? this.clock.monotonic() - this.signalledAt : 0;
    }

    /**
     * Whether the balancer has noticed, so that callers come only on connections that they have kept. Its probes are answered as not ready
     * only since the signal was handled.
     */
    isNoticed(): boolean {
        return this.handledAt !== undefined && this.clock.monotonic() - this.handledAt > balancerNoticeMilliseconds;
    }

    /**
     * Refuses a request that no backend server may have run and that can't be expected to end in time; returns whether it did. To be
     * asked once it is whole, while it waits, and before its first send.
     */
    refuse(request: CallerRequest): boolean {
        if (
            !this.hasBegun() || request.outcome() !== undefined || request.mayHaveRun()
            || this.timeNeeded(request) <= this.endsAt - this.clock.monotonic()
        ) {
            return false;
        }
        request.endEarly(retryAfterOf(request), cannotEnd);
        return true;
    }

    /** Ends a request at the end of the period, unless it has been answered: then only its caller's connection has to take the answer. */
    end(request: CallerRequest): void {
        if (request.outcome() === undefined) {
            request.endEarly(retryAfterOf(request), hasEnded);
        }
    }

    /** Milliseconds that a request must be given: its own limit at most. */
    private timeNeeded(request: CallerRequest): number {
        const isLate = request.wholeAt - this.signalledAt > balancerNoticeMilliseconds;
        const needed = isLate || request.route.kind === "unsafe"
            ? this.timeNeededAtMost(request)
            : this.timeExpected(request);
        // Its own limit ends it later if it hasn't waited unread for as long as it may have.
        return Math.min(request.remainingTime() + request.unreadFor, needed);
    }

    private timeExpected({ route }: CallerRequest): number {
        const whileUnknown = this.isNoticed() ? Number.POSITIVE_INFINITY : 0;
        return this.durations.quantile(route.name, expectedShare) ?? whileUnknown;
    }

    /** Where a wrong estimate would leave the outcome unknown, or break an answer off, a refusal costs the caller less. */
    private timeNeededAtMost({ route }: CallerRequest): number {
        const longest = route.kind === "safe" ? this.durations.quantile(route.name, 1) : undefined;
        return lateSafetyFactor * (longest ?? Number.POSITIVE_INFINITY);
    }
}

function retryAfterOf(request: CallerRequest): number {
    return minRetryAfterMilliseconds + hashToFraction(request.attempt) * retryAfterSpreadMilliseconds;
}
