import { hashToFraction } from "../../utils/index.js";

/** How much the fraction of refused requests grows with each further request that all servers reject, or slow call beside such. */
const rejectionStep = 0.2;
const slowCallStep = 0.15;
/** How much it shrinks with any other answered call. */
const recoveryStep = 0.02;
const maxRefusedFraction = 0.8;
/** A call is slow from this fraction of its target on: its caller's and the gateway's own time come on top. */
const slowFraction = 0.7;
/** How long after such a request the servers count as full. Without one, slow calls mean slow servers, not queues. */
const fullMilliseconds = 3_000;
/** Half-life of the fraction while no call ends. */
const halfLifeMilliseconds = 3_000;
/** Retry-After of a refused request: between once and twice this time. */
const retryAfterMilliseconds = 350;

/** Decides which requests of plain services a gateway refuses before it calls a server. */
export abstract class ServiceAdmission {
    /** Milliseconds after which a refused request may come back; undefined if it is admitted. */
    abstract refusal(service: string, attempt: string, now: number): number | undefined;

    /** Records that every server that was tried for a request rejected it: one alone may be at fault. */
    abstract recordFull(service: string, now: number): void;

    /** Records the duration of an answered call; `target`: milliseconds within which it was to be answered. */
    abstract recordAnswer(service: string, milliseconds: number, target: number, now: number): void;
}

type ServiceState = { refusedFraction: number; changedAt: number; fullAt: number; };

/**
 * Refuses a fraction of a service's requests while its servers are full. Otherwise their queues stay full for as long as more
 * arrives than they can answer, and every answer is late, although they could answer most requests in time.
 */
export class LoadAdmission extends ServiceAdmission {
    private readonly states = new Map<string, ServiceState>();

    private constructor() {
        super();
    }

    static create(): LoadAdmission {
        return new LoadAdmission();
    }

    override refusal(service: string, attempt: string, now: number): number | undefined {
        const position = hashToFraction(attempt);
        const fraction = this.refusedFraction(service, now);
        // The position of a refused request is spread evenly over the refused fraction.
        return position < fraction ? retryAfterMilliseconds * (1 + position / fraction) : undefined;
    }

    override recordFull(service: string, now: number): void {
        const state = this.state(service, now);
        if (now - state.fullAt < fullMilliseconds) {
            this.change(service, rejectionStep, now);
        }
        state.fullAt = now;
    }

    override recordAnswer(service: string, milliseconds: number, target: number, now: number): void {
        const state = this.states.get(service);
        if (state === undefined) {
            return;
        }
        if (milliseconds <= slowFraction * target) {
            this.change(service, -recoveryStep, now);
        }
        else if (now - state.fullAt < fullMilliseconds) {
            this.change(service, slowCallStep, now);
        }
    }

    private change(service: string, step: number, now: number): void {
        const fraction = this.refusedFraction(service, now) + step;
        const state = this.state(service, now);
        state.refusedFraction = Math.min(maxRefusedFraction, Math.max(0, fraction));
        state.changedAt = now;
    }

    private state(service: string, now: number): ServiceState {
        let state = this.states.get(service);
        if (state === undefined) {
            state = { refusedFraction: 0, changedAt: now, fullAt: Number.NEGATIVE_INFINITY };
            this.states.set(service, state);
        }
        return state;
    }

    private refusedFraction(service: string, now: number): number {
        const state = this.states.get(service);
        return state === undefined
            ? 0
            : state.refusedFraction * 0.5 ** ((now - state.changedAt) / halfLifeMilliseconds);
    }
}
