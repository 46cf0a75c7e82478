import { displacedRefusal, noRoomRefusal } from "./placementRefusals.js";
import { QueueAdmission, type QueueAdmissionOptions, type Refusal, type RefusedWait } from "./queueAdmission.js";
import { TokensAhead } from "./tokensAhead.js";
import type { WaitingRequest } from "./waitingRequest.js";

/**
 * Fraction of the time left within which a forecast must be for a priority to be admitted again after one of its requests
 * was evicted. Without it requests are admitted and evicted in turns at the end of a burst.
 */
const readmissionFraction = 0.8;
/** How long an eviction counts: a burst's end that lasts longer has had time to show in the forecast. */
const evictionMilliseconds = 2_000;

/** Admission where requests of several priorities compete. */
export class PriorityAdmission extends QueueAdmission {
    /** Time of each priority's last eviction. */
    private readonly evictedAt = new Map<number, number>();
    /** Tokens placed so far, by priority. */
    private readonly placed = TokensAhead.create();
    /** The same at the arrival of each waiting request. */
    private readonly placedAtArrival = new WeakMap<WaitingRequest, TokensAhead>();

    static create(options: QueueAdmissionOptions): PriorityAdmission {
        return new PriorityAdmission(options);
    }

    override recordPlaced(waiting: WaitingRequest, firstEventIn: number, now: number): void {
        super.recordPlaced(waiting, firstEventIn, now);
        this.placed.add(waiting.request);
    }

    protected override mayEnter({ waiting, firstEventIn, poolForecast, now }: RefusedWait): boolean {
        const { priority, resumed } = waiting.request;
        if (!this.mayWait(waiting, firstEventIn, poolForecast.capacity, now)) {
            return false;
        }
        this.placedAtArrival.set(waiting, this.placed.copy());
        const hasRoomAgain = firstEventIn <= readmissionFraction * this.timeLeft(waiting, now);
        if (hasRoomAgain) {
            this.evictedAt.delete(priority);
        }
        const evictedAt = this.evictedAt.get(priority) ?? Number.NEGATIVE_INFINITY;
        return resumed || poolForecast.capacity === 0 || now - evictedAt >= evictionMilliseconds;
    }

    protected override refuseLate(wait: RefusedWait): Refusal {
        const { request } = wait.waiting;
        const retryIn = this.retryIn(wait);
        const gaveWayTo = this.displacingPriority(wait);
        return gaveWayTo === undefined
            ? { decision: noRoomRefusal(request, retryIn), cause: "noRoom" }
            : { decision: displacedRefusal(request, gaveWayTo, retryIn), cause: "gaveWay", gaveWayTo };
    }

    protected override recordEviction({ request }: WaitingRequest, now: number): void {
        this.evictedAt.set(request.priority, now);
    }

    /**
     * The higher priority with the most tokens ahead of a request or placed while it waited; undefined if the request would be
     * too late without those priorities as well.
     */
    private displacingPriority({ waiting, ahead, poolForecast, now }: RefusedWait): number | undefined {
        const { request } = waiting;
        const placedBefore = this.placedAtArrival.get(waiting);
        let displaced = 0;
        let displacing: { readonly priority: number; readonly tokens: number; } | undefined;
        for (const priority of new Set([...ahead.priorities(), ...this.placed.priorities()])) {
            const placedSince = placedBefore === undefined ? 0 : this.placed.of(priority) - placedBefore.of(priority);
            const tokens = ahead.of(priority) + placedSince;
            if (priority < request.priority && tokens > 0) {
                displaced += tokens;
                displacing = displacing === undefined || tokens > displacing.tokens ? { priority, tokens } : displacing;
            }
        }
        const firstEventIn = poolForecast.firstEventIn(request, ahead.total - displaced);
        return this.mayWait(waiting, firstEventIn, poolForecast.capacity, now) ? displacing?.priority : undefined;
    }
}
