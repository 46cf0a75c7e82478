import { type BackendAnswer, discard, type HeldBytes } from "../backends/index.js";
import type { CallerRequest } from "./callerRequest.js";
import { type CompleteEvent, EventBoundExceeded, type EventBounds, EventSplitter } from "./eventSplitter.js";
import type { SilenceWatch } from "./silenceWatch.js";

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
     * Forwards a run's events as they arrive. `silence`: hears each chunk; undefined if nobody asks. `onBytes`: called for each chunk that is
     * received, with the number of events that it completes.
     */
    async forward(
        answer: BackendAnswer,
        silence: SilenceWatch | undefined,
        signal: AbortSignal,
        onBytes: (events: number) => void,
    ): Promise<RelayEnd> {
        const { request } = this;
        if (!request.hasAnswerBegun()) {
            request.beginStream(answer, this.answers.held);
        }
        const eventsBefore = this.eventCount;
        const splitter = EventSplitter.create(this.answers.bounds);
        try {
            for await (const chunk of answer.body as AsyncIterable<Buffer>) {
                silence?.heard();
                let events = 0;
                try {
                    for (const event of splitter.push(chunk)) {
                        events += 1;
                        const forwarded = this.forwardEvent(event);
                        await (silence?.pauseDuring(forwarded) ?? forwarded);
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
            const cause = signal.aborted ? "the request timed out" : String((error as Error).message);
            return { kind: "broken", cause, exceeded: error instanceof EventBoundExceeded ? error : undefined };
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
