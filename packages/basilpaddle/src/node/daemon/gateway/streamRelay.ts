import { type BackendAnswer, discard, type HeldBytes } from "../backends/index.js";
import type { CallerRequest } from "./callerRequest.js";
import { type CompleteEvent, EventBoundExceeded, type EventBounds, EventSplitter } from "./eventSplitter.js";

/** Bounds of the answers that are forwarded, and the account of what can't be sent yet. */
export type RelayedAnswers = { readonly bounds: EventBounds; readonly held: HeldBytes; };

/** How forwarding the events of one run ended. */
export type RelayEnd =
    | { readonly kind: "whole"; }
    /** The stream was cut off, or sent events out of order. */
    | {
        readonly kind: "broken";
        readonly cause: string;
        readonly exceeded?: EventBoundExceeded | undefined;
        readonly isSilent?: boolean;
    };

/** Forwards the events of one answer, which may come from several consecutive runs. */
export class StreamRelay {
    private lastEventNumber: number | undefined;
    private eventCount = 0;

    private constructor(
        private readonly request: CallerRequest,
        private readonly answers: RelayedAnswers,
        private readonly onFirstEvent: () => void,
    ) {}

    /** `answers`: bounds of events and comments, and the account of what is held. `onFirstEvent`: called on the first event of the answer. */
    static create(request: CallerRequest, answers: RelayedAnswers, onFirstEvent: () => void): StreamRelay {
        return new StreamRelay(request, answers, onFirstEvent);
    }

    /** Number of the last numbered event that was forwarded to the caller; undefined before the first. */
    lastEvent(): number | undefined {
        return this.lastEventNumber;
    }

    /** Number of events that were forwarded to the caller, over all runs. */
    events(): number {
        return this.eventCount;
    }

    /**
     * Forwards a run's events as they arrive. `idleTimeoutMilliseconds`: time without a byte after which the run is aborted;
     * undefined if the run can't be resumed elsewhere. `onBytes`: called for each chunk that is received, with the
     * number of events that it completes.
     */
    async forward(
        answer: BackendAnswer,
        idleTimeoutMilliseconds: number | undefined,
        signal: AbortSignal,
        onBytes: (events: number) => void,
    ): Promise<RelayEnd> {
        const { request } = this;
        if (!request.hasAnswerBegun()) {
            request.beginStream(answer, this.answers.held);
        }
        const eventsBefore = this.eventCount;
        const splitter = EventSplitter.create(this.answers.bounds);
        const idleTimeout = IdleTimeout.create(answer, idleTimeoutMilliseconds);
        try {
            for await (const chunk of answer.body as AsyncIterable<Buffer>) {
                idleTimeout.recordBytes();
                let events = 0;
                try {
                    for (const event of splitter.push(chunk)) {
                        events += 1;
                        await this.forwardEvent(event);
                    }
                }
                finally {
                    onBytes(events);
                }
                if (request.isDisconnected()) {
                    break;
                }
            }
        }
        catch (error) {
            discard(answer);
            const cause = idleTimeout.timedOut ? "the engine stopped sending" : String((error as Error).message);
            const exceeded = error instanceof EventBoundExceeded ? error : undefined;
            return {
                kind: "broken",
                cause: signal.aborted ? "the request timed out" : cause,
                exceeded,
                isSilent: idleTimeout.timedOut,
            };
        }
        finally {
            idleTimeout.clear();
        }
        if (request.isDisconnected()) {
            discard(answer);
            return { kind: "broken", cause: "the caller disconnected" };
        }
        if (splitter.pending() > 0) {
            return { kind: "broken", cause: "the stream ended within an event" };
        }
        return !answer.framed && this.eventCount === eventsBefore
            ? { kind: "broken", cause: "the stream ended with its connection before an event" }
            : { kind: "whole" };
    }

    private async forwardEvent({ bytes, id }: CompleteEvent): Promise<void> {
        if (id !== undefined && this.lastEventNumber !== undefined) {
            // A resumed run may begin with events that the caller already has.
            if (id <= this.lastEventNumber) {
                return;
            }
            if (id !== this.lastEventNumber + 1) {
                throw new RangeError(`event ${id} follows event ${this.lastEventNumber}`);
            }
        }
        this.lastEventNumber = id ?? this.lastEventNumber;
        this.eventCount += 1;
        if (this.eventCount === 1) {
            this.onFirstEvent();
        }
        await this.request.write(bytes);
    }
}

/** Aborts an answer whose stream is idle for too long: a host that has failed doesn't close its connections. */
class IdleTimeout {
    timedOut = false;
    private receivedAt = performance.now();
    private readonly timer: NodeJS.Timeout | undefined;

    private constructor(answer: BackendAnswer, limit: number | undefined) {
        if (limit !== undefined) {
            this.timer = setInterval(() => {
                if (performance.now() - this.receivedAt > limit) {
                    this.timedOut = true;
                    discard(answer);
                }
            }, limit / 4);
        }
    }

    static create(answer: BackendAnswer, limit: number | undefined): IdleTimeout {
        return new IdleTimeout(answer, limit);
    }

    recordBytes(): void {
        this.receivedAt = performance.now();
    }

    clear(): void {
        clearInterval(this.timer);
    }
}
