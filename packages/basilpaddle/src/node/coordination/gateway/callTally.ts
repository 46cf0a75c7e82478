import type { ServerAnnouncement, ServerCalls } from "../../protocol/index.js";
import type { CallOutcome } from "./serverChoice.js";

/** Weight of one call in the moving average of a service's response times. */
const responseTimeWeight = 0.1;
/** Assumed response time of a service until a call has been answered. */
const initialMeanMilliseconds = 50;
/**
 * An open call counts as failed after this multiple of the service's mean response time, but not before the minimum: calls
 * to a server that hangs never end.
 */
const hangTimeoutFactor = 4;
const minHangMilliseconds = 300;

/** A call in progress. */
export type OpenCall = { readonly server: ServerAnnouncement; readonly startedAt: number; isCounted: boolean; };

/**
 * Counts answered and failed calls of this gateway to plain services; the leader sums the counts of all gateways. With
 * hundreds of gateways, each makes one call every second or two, too few to detect a failing server in time by itself.
 */
export class CallTally {
    private readonly openCalls = new Set<OpenCall>();
    private readonly meanResponseTimes = new Map<string, number>();
    private counts = new Map<string, { service: string; answered: number; failed: number; }>();

    static create(): CallTally {
        return new CallTally();
    }

    /** Records the start of a call. */
    recordStart(server: ServerAnnouncement, now: number): OpenCall {
        const call = { server, startedAt: now, isCounted: false };
        this.openCalls.add(call);
        return call;
    }

    /** Records the outcome of a call, unless it was already counted as failed. */
    recordOutcome(call: OpenCall, outcome: CallOutcome, now: number): void {
        this.openCalls.delete(call);
        if (outcome === "lostOnPath") {
            return;
        }
        const { service } = call.server;
        if (outcome === "answered") {
            const mean = this.meanResponseTimes.get(service) ?? initialMeanMilliseconds;
            this.meanResponseTimes.set(service, mean + responseTimeWeight * (now - call.startedAt - mean));
        }
        if (!call.isCounted) {
            this.addCount(call, outcome === "answered");
        }
    }

    /** Discards an open call whose caller disconnected: it says nothing about the server. */
    discardCall(call: OpenCall): void {
        this.openCalls.delete(call);
    }

    /** Returns the counts since the previous call and resets them. */
    takeCounts(now: number): ServerCalls[] {
        for (const call of this.openCalls) {
            const mean = this.meanResponseTimes.get(call.server.service) ?? initialMeanMilliseconds;
            if (!call.isCounted && now - call.startedAt > Math.max(minHangMilliseconds, hangTimeoutFactor * mean)) {
                call.isCounted = true;
                this.addCount(call, false);
            }
        }
        const counts = [...this.counts].map(([id, count]) => ({ id, ...count }));
        this.counts = new Map();
        return counts;
    }

    private addCount(call: OpenCall, isAnswered: boolean): void {
        const { id, service } = call.server;
        const count = this.counts.get(id) ?? { service, answered: 0, failed: 0 };
        this.counts.set(id, count);
        count.answered += isAnswered ? 1 : 0;
        count.failed += isAnswered ? 0 : 1;
    }
}
