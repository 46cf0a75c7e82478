import type { Announced, ServerCalls } from "../../protocol/index.js";
import type { CallOutcome } from "./serverChoice.js";

/** Weight of one call in the running mean of a service's times. */
const step = 0.1;
/** Milliseconds that a call is expected to take before any was answered. */
const usualTime = 50;
/** Times the mean, and least milliseconds, after which an open call counts as failed: a server that hangs ends none. */
const stalledFactor = 4;
const leastStall = 300;

/** A call that was begun. */
export type OpenCall = { readonly server: Announced; readonly startedAt: number; told: boolean; };

/**
 * Counts how this gateway's calls to plain services go, for the leader to add up over all gateways. Among hundreds of
 * gateways each makes a call in a second or two, and alone learns too late which server fails.
 */
export class CallTally {
    private readonly open = new Set<OpenCall>();
    private readonly meanTimes = new Map<string, number>();
    private counts = new Map<string, { service: string; answered: number; failed: number; }>();

    static create(): CallTally {
        return new CallTally();
    }

    /** Notes a call that begins. */
    began(server: Announced, now: number): OpenCall {
        const call = { server, startedAt: now, told: false };
        this.open.add(call);
        return call;
    }

    /** Notes how a call ended. */
    ended(call: OpenCall, outcome: CallOutcome, now: number): void {
        this.open.delete(call);
        const { service } = call.server;
        if (outcome === "answered") {
            const mean = this.meanTimes.get(service) ?? usualTime;
            this.meanTimes.set(service, mean + step * (now - call.startedAt - mean));
        }
        if (!call.told) {
            this.count(call, outcome === "answered");
        }
    }

    /** Forgets a call that hasn't ended but is given up, since its caller went away: it says nothing of its server. */
    dropped(call: OpenCall): void {
        this.open.delete(call);
    }

    /** What there is to tell since the last time. */
    take(now: number): ServerCalls[] {
        for (const call of this.open) {
            const mean = this.meanTimes.get(call.server.service) ?? usualTime;
            if (!call.told && now - call.startedAt > Math.max(leastStall, stalledFactor * mean)) {
                call.told = true;
                this.count(call, false);
            }
        }
        const taken = [...this.counts].map(([id, count]) => ({ id, ...count }));
        this.counts = new Map();
        return taken;
    }

    private count(call: OpenCall, isAnswered: boolean): void {
        const { id, service } = call.server;
        const count = this.counts.get(id) ?? { service, answered: 0, failed: 0 };
        this.counts.set(id, count);
        count.answered += isAnswered ? 1 : 0;
        count.failed += isAnswered ? 0 : 1;
    }
}
