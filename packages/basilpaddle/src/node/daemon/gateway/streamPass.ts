import { type BackendAnswer, discard } from "../backends/index.js";
import type { CallerRequest } from "./callerRequest.js";
import { EventCutter, type WholeEvent } from "./eventCutter.js";

/** How the passing on of one run's events ended. */
export type PassEnd =
    | { readonly kind: "whole"; }
    /** It broke off, or can't be trusted any further. */
    | { readonly kind: "broken"; readonly cause: string; };

/** Passes the events of one answer on, which may come from several runs one after the other. */
export class StreamPass {
    private last: number | undefined;
    private count = 0;

    private constructor(private readonly request: CallerRequest, private readonly onFirst: () => void) {}

    /** `onFirst`: called with the first event of the answer. */
    static create(request: CallerRequest, onFirst: () => void): StreamPass {
        return new StreamPass(request, onFirst);
    }

    /** Number of the last event that the caller was given; undefined before the first. */
    lastEvent(): number | undefined {
        return this.last;
    }

    /** Events that the caller was given, over all runs. */
    events(): number {
        return this.count;
    }

    /**
     * Passes a run's events on as they come. `silenceLimit`: milliseconds without a byte after which the run is given
     * up; undefined where nothing else could be done than to wait. `onBytes`: called as bytes come.
     */
    async pass(
        answer: BackendAnswer,
        silenceLimit: number | undefined,
        signal: AbortSignal,
        onBytes: () => void,
    ): Promise<PassEnd> {
        const { request } = this;
        if (!request.hasBegun()) {
            request.begin(answer);
        }
        const cutter = EventCutter.create();
        const silence = SilenceWatch.create(answer, silenceLimit);
        try {
            for await (const chunk of answer.body as AsyncIterable<Buffer>) {
                silence.heard();
                onBytes();
                for (const event of cutter.push(chunk)) {
                    await this.passEvent(event);
                }
                if (request.isGone()) {
                    break;
                }
            }
        }
        catch (error) {
            discard(answer);
            const cause = silence.gaveUp ? "it fell silent" : String((error as Error).message);
            return { kind: "broken", cause: signal.aborted ? "its time ran out" : cause };
        }
        finally {
            silence.end();
        }
        if (request.isGone()) {
            discard(answer);
            return { kind: "broken", cause: "the caller has gone" };
        }
        return cutter.pending() > 0 ? { kind: "broken", cause: "it ended within an event" } : { kind: "whole" };
    }

    private async passEvent({ bytes, id }: WholeEvent): Promise<void> {
        if (id !== undefined && this.last !== undefined) {
            // A resumed run may begin with what the caller has already.
            if (id <= this.last) {
                return;
            }
            if (id !== this.last + 1) {
                throw new RangeError(`event ${id} came after ${this.last}`);
            }
        }
        this.last = id ?? this.last;
        this.count += 1;
        if (this.count === 1) {
            this.onFirst();
        }
        await this.request.write(bytes);
    }
}

/** Gives an answer up whose stream has fallen silent: a host that is gone closes no connection. */
class SilenceWatch {
    gaveUp = false;
    private heardAt = performance.now();
    private readonly timer: NodeJS.Timeout | undefined;

    private constructor(answer: BackendAnswer, limit: number | undefined) {
        if (limit !== undefined) {
            this.timer = setInterval(() => {
                if (performance.now() - this.heardAt > limit) {
                    this.gaveUp = true;
                    discard(answer);
                }
            }, limit / 4);
        }
    }

    static create(answer: BackendAnswer, limit: number | undefined): SilenceWatch {
        return new SilenceWatch(answer, limit);
    }

    heard(): void {
        this.heardAt = performance.now();
    }

    end(): void {
        clearInterval(this.timer);
    }
}
