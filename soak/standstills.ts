import type { SoakRequest, Violation } from "./soakRequest.js";
import { isLong } from "./texts.js";
import { deadlineMilliseconds, routeTimeoutMilliseconds } from "./timeLimits.js";

/** Time that a gateway has after a standstill, before the limit of a stream, to deliver what came meanwhile. */
const marginMilliseconds = 1_000;

/** Times in which gateways stood still, in milliseconds of the monotonic clock. */
export class Standstills {
    private readonly spans: { readonly gateway: string; readonly from: number; to: number; }[] = [];

    private constructor() {}

    static create(): Standstills {
        return new Standstills();
    }

    /** Records that a gateway stands still. Returns a function that records the end. */
    begun(gateway: string, now: number): (until: number) => void {
        const span = { gateway, from: now, to: Number.POSITIVE_INFINITY };
        this.spans.push(span);
        return until => {
            span.to = until;
        };
    }

    /**
     * Streams that may be resumed and were broken off at a gateway that stood still, well before their limit. `isExcused`: whether a
     * fault other than standstills was active, or a stop may have ended the stream.
     */
    violations(
        requests: readonly SoakRequest[],
        isExcused: (request: SoakRequest) => boolean,
    ): readonly Violation[] {
        const broken = requests.filter(request => {
            const { kind, gateway, attempt, sentAt, endedAt, end } = request;
            const limitAt = sentAt + (isLong(attempt) ? routeTimeoutMilliseconds : deadlineMilliseconds)
                - marginMilliseconds;
            const stoodStill = this.spans.some(span => {
                return span.gateway === gateway && span.from <= endedAt && span.to >= sentAt && span.to <= limitAt;
            });
            const wasCut = end?.kind === "cut" && end.status === 200;
            return kind === "resumable" && wasCut && stoodStill && endedAt < limitAt && !isExcused(request);
        });
        return broken.map(({ attempt, gateway, end }) => {
            const what = `${attempt} by ${gateway}: ${end?.kind === "cut" ? end.cause : ""}`;
            return { invariant: "a standstill breaks no stream off", what };
        });
    }
}
