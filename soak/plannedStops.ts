import type { SoakRequest } from "./soakRequest.js";

/** Grace period of the daemons, and how long after the signal callers may still count on a gateway. */
const graceMilliseconds = 8_000;
const noticeMilliseconds = 3_000;
/** Part of the grace period at whose end an answer that has begun may be broken off. */
const lastPartOfGrace = 1 / 6;
/** Time within which a request that reached no server may cross the closing of its connection. */
const crossingMilliseconds = 500;

/** The planned stops of gateways, and which requests they may cut. */
export class PlannedStops {
    private readonly signals: { readonly gateway: string; readonly at: number; }[] = [];

    private constructor() {}

    static create(): PlannedStops {
        return new PlannedStops();
    }

    /** Records that a gateway got the signal to stop. */
    signalled(gateway: string, now: number): void {
        this.signals.push({ gateway, at: now });
    }

    /**
     * Whether a stop may cut this request of a caller that keeps its connection: its answer had begun, it was sent whole while callers might
     * count on the gateway, and it lasted until the end of the grace period; or it crossed the closing of its connection.
     */
    mayCut({ gateway, sentAt, wholeAt, endedAt, end, runs }: SoakRequest): boolean {
        const signal = this.signals.findLast(stop => stop.gateway === gateway && stop.at <= endedAt);
        if (signal === undefined || end?.kind !== "cut") {
            return false;
        }
        const lastsToTheEnd = endedAt >= signal.at + graceMilliseconds * (1 - lastPartOfGrace);
        const wasEarly = wholeAt !== undefined && wholeAt <= signal.at + noticeMilliseconds;
        const isCrossing = end.status === undefined && runs.length === 0 && endedAt - sentAt < crossingMilliseconds;
        return isCrossing || end.status !== undefined && wasEarly && lastsToTheEnd;
    }
}
