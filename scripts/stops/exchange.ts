/** How a request ended, as its caller saw it. */
export type Ending = "whole" | "refused" | "unknown" | "noStatus" | "cutInAnswer" | "other";

/** One request of a caller; times in milliseconds of the monotonic clock. */
export type Exchange = {
    readonly attempt: string;
    /** Index of the gateway that it was sent to. */
    readonly gateway: number;
    /** Whether it is one of the short requests beside those that the row is about. */
    readonly isBeside: boolean;
    readonly beganAt: number;
    /** When its last byte was sent; undefined if it never was. */
    sentAt: number | undefined;
    ending: Ending | undefined;
    endedAt: number;
};

/** The work of backend servers for a request, from the first run to the end of the last one; undefined while any is at work. */
export type ServerRun = { readonly beganAt: number; endedAt: number | undefined; };

/** What was observed of the runs of a request, which may overlap. */
export class ServerRuns implements ServerRun {
    endedAt: number | undefined;
    private atWork = 0;

    private constructor(readonly beganAt: number) {}

    static create(beganAt: number): ServerRuns {
        return new ServerRuns(beganAt);
    }

    /** Records that a server begins to work on it. Returns a function that records the end. */
    begin(): (now: number) => void {
        this.atWork += 1;
        this.endedAt = undefined;
        return now => {
            this.atWork -= 1;
            this.endedAt = this.atWork === 0 ? now : undefined;
        };
    }
}

/** When a gateway got its signal, and how it ended. */
export type Stop = { readonly gateway: number; readonly at: number; endedAt: number | undefined; wasKilled: boolean; };

/** Grace period of the stopped gateways. */
export const graceMilliseconds = 8_000;
/** How long after the signal callers may still count on the gateway. */
export const noticeMilliseconds = 3_000;
/** How long after the signal a request that was sent must get an answer, whatever it is. */
const answeredMilliseconds = 2_800;
const lastPartOfGrace = 1 / 6;

/** When a request was sent whole, against the signal to its gateway. */
export type Moment = "before" | "within 3 s" | "later" | "not stopped";

/** The moment of an exchange; of one that was never sent whole, the moment at which it ended. */
export function momentOf({ sentAt, endedAt }: Exchange, stop: Stop | undefined): Moment {
    if (stop === undefined) {
        return "not stopped";
    }
    const after = (sentAt ?? endedAt) - stop.at;
    return after < 0 ? "before" : after <= noticeMilliseconds ? "within 3 s" : "later";
}

/**
 * Whether a request was sent whole, passed on and ended without a whole answer; `allowed` if it was sent early enough to be taken, and its
 * server still worked on it in the last part of the grace period.
 */
export function lossOf(
    exchange: Exchange,
    stop: Stop | undefined,
    run: ServerRun | undefined,
): "lost" | "allowed" | undefined {
    const hasAnswer = exchange.ending !== "noStatus" && exchange.ending !== "cutInAnswer";
    if (hasAnswer || exchange.sentAt === undefined || run === undefined || stop === undefined) {
        return undefined;
    }
    const lastPart = stop.at + graceMilliseconds * (1 - lastPartOfGrace);
    const wasAtWork = run.endedAt === undefined || run.endedAt >= lastPart;
    return wasAtWork && exchange.sentAt - stop.at <= noticeMilliseconds ? "allowed" : "lost";
}

/** Whether a request was sent whole before or soon after the signal, never passed on, and its connection closed without a status. */
export function wasReset({ ending, sentAt }: Exchange, stop: Stop | undefined, run: ServerRun | undefined): boolean {
    const wasSent = sentAt !== undefined && stop !== undefined && sentAt - stop.at <= answeredMilliseconds;
    return wasSent && ending === "noStatus" && run === undefined;
}
