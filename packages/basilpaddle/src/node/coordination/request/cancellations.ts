import type { Announcement, View } from "../../protocol/index.js";
import type { Clock, Logger, Metrics, Randomness } from "../../utils/index.js";
import type { EngineClients } from "./engineClients.js";
import { pause } from "./scope.js";

const callTimeoutMilliseconds = 2_000;
const initialBackoffMilliseconds = 50;
const maxBackoffMilliseconds = 5_000;
/** Maximum time that a call that was abandoned while in flight can still take to reach the engine. */
const maxInFlightMilliseconds = 1_000;
const maxPending = 10_000;

type PendingCancellation = { readonly attempt: string; readonly backend: Announcement; readonly inFlight: boolean; };

/** Options of `Cancellations`. */
export type CancellationOptions = {
    readonly engines: EngineClients;
    readonly view: () => View;
    readonly clock: Clock;
    readonly randomness: Randomness;
    readonly logger: Logger;
    readonly metrics: Metrics;
};

/**
 * Cancels attempts at engines. A lost cancel would leave a decode slot allocated to a caller that has disconnected, so each
 * cancel is retried until the engine confirms it or is terminated.
 */
export class Cancellations {
    private readonly pending = new Map<string, PendingCancellation>();
    private readonly stopController = new AbortController();

    private constructor(private readonly options: CancellationOptions) {}

    static create(options: CancellationOptions): Cancellations {
        return new Cancellations(options);
    }

    /** Number of cancels that aren't confirmed yet. */
    get pendingCount(): number {
        return this.pending.size;
    }

    /**
     * Cancels the attempt at the backend server in the background, which releases everything allocated to it there.
     * `inFlight`: a call was abandoned before it was answered. The cancel may overtake that call on another connection, so it
     * is sent again after the maximum time that the call can take to arrive.
     */
    cancelInBackground(attempt: string, backend: Announcement, inFlight: boolean): void {
        const key = `${backend.id} ${attempt}`;
        if (this.pending.has(key) || this.stopController.signal.aborted) {
            return;
        }
        if (this.pending.size >= maxPending) {
            this.options.metrics.count("basilpaddle_cancels_dropped_total");
            this.options.logger.error("too many unconfirmed cancels; dropping one", { attempt, backend: backend.id });
            return;
        }
        const cancellation = { attempt, backend, inFlight };
        this.pending.set(key, cancellation);
        this.updateGauge();
        void this.cancelWithRetries(cancellation).finally(() => {
            this.pending.delete(key);
            this.updateGauge();
        });
    }

    /**
     * Waits until all cancels are confirmed, for at most `timeout` milliseconds. Returns the number of unconfirmed ones.
     */
    async drain(timeout: number): Promise<number> {
        const deadline = this.options.clock.monotonic() + timeout;
        while (this.pending.size > 0 && this.options.clock.monotonic() < deadline) {
            await pause(this.options.clock, 20);
        }
        return this.pending.size;
    }

    close(): void {
        this.stopController.abort();
    }

    private updateGauge(): void {
        this.options.metrics.gauge("basilpaddle_cancels_outstanding", this.pending.size);
    }

    private async cancelWithRetries(cancellation: PendingCancellation): Promise<void> {
        const confirmed = await this.retryUntilConfirmed(cancellation);
        if (confirmed && cancellation.inFlight) {
            await pause(this.options.clock, maxInFlightMilliseconds, this.stopController.signal);
            await this.retryUntilConfirmed(cancellation);
        }
    }

    private async retryUntilConfirmed(cancellation: PendingCancellation): Promise<boolean> {
        let backoff = initialBackoffMilliseconds;
        while (!this.stopController.signal.aborted && !this.isTerminated(cancellation.backend)) {
            if (await this.cancelOnce(cancellation)) {
                return true;
            }
            this.options.metrics.count("basilpaddle_cancel_retries_total");
            await pause(
                this.options.clock,
                backoff * (0.5 + this.options.randomness.fraction()),
                this.stopController.signal,
            );
            backoff = Math.min(maxBackoffMilliseconds, backoff * 2);
        }
        return false;
    }

    private async cancelOnce(cancellation: PendingCancellation): Promise<boolean> {
        const engine = this.options.engines.acquireClient(cancellation.backend.url);
        try {
            return (await engine.cancel(cancellation.attempt, callTimeoutMilliseconds)).isRight();
        }
        catch (failure) {
            this.options.logger.error("cancel call failed unexpectedly; retrying", {
                attempt: cancellation.attempt,
                failure: String(failure),
            });
            return false;
        }
        finally {
            this.options.engines.releaseClient(cancellation.backend.url);
        }
    }

    private isTerminated(backend: Announcement): boolean {
        const entry = this.options.view().backends[backend.id];
        return entry === undefined || entry.state === "gone" || entry.announcement.incarnation > backend.incarnation;
    }
}
