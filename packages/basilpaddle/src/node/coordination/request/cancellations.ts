import type { Announcement, View } from "../../protocol/index.js";
import type { Clock, Logger, Metrics, Randomness } from "../../utils/index.js";
import type { EngineClients } from "./engineClients.js";
import { pause } from "./scope.js";

const callTimeoutMilliseconds = 2_000;
const initialBackoffMilliseconds = 50;
const maxBackoffMilliseconds = 5_000;
/** Longest time that a call in flight when it was abandoned can take to reach the engine. */
const maxInFlightMilliseconds = 1_000;
const maxOutstanding = 10_000;

type PendingCancellation = { readonly attempt: string; readonly backend: Announcement; readonly inFlight: boolean; };

/** Dependencies of `Cancellations`. */
export type CancellationParts = {
    readonly engines: EngineClients;
    readonly view: () => View;
    readonly clock: Clock;
    readonly randomness: Randomness;
    readonly logger: Logger;
    readonly metrics: Metrics;
};

/**
 * Cancels that engines haven't confirmed yet. A lost cancel would leak a decode slot to a caller who has disconnected, so
 * each cancel is retried until the engine confirms it or is gone.
 */
export class Cancellations {
    private readonly pending = new Map<string, PendingCancellation>();
    private readonly stopController = new AbortController();

    private constructor(private readonly parts: CancellationParts) {}

    static create(parts: CancellationParts): Cancellations {
        return new Cancellations(parts);
    }

    /** Number of cancels that aren't confirmed yet. */
    get outstanding(): number {
        return this.pending.size;
    }

    /**
     * Cancels the attempt at the backend server in the background, to release what it may hold there. `inFlight`: a call was
     * abandoned before its answer. The cancel may overtake it on another connection, so it is sent again once the call must
     * have arrived.
     */
    cancelInBackground(attempt: string, backend: Announcement, inFlight: boolean): void {
        const name = `${backend.id} ${attempt}`;
        if (this.pending.has(name) || this.stopController.signal.aborted) {
            return;
        }
        if (this.pending.size >= maxOutstanding) {
            this.parts.metrics.count("basilpaddle_cancels_dropped_total");
            this.parts.logger.error("too many unconfirmed cancels; dropping one", { attempt, backend: backend.id });
            return;
        }
        const cancellation = { attempt, backend, inFlight };
        this.pending.set(name, cancellation);
        this.updateGauge();
        void this.cancelWithRetries(cancellation).finally(() => {
            this.pending.delete(name);
            this.updateGauge();
        });
    }

    /** Waits until all cancels are confirmed, for at most the given milliseconds. Returns how many are left. */
    async drain(timeout: number): Promise<number> {
        const end = this.parts.clock.monotonic() + timeout;
        while (this.pending.size > 0 && this.parts.clock.monotonic() < end) {
            await pause(this.parts.clock, 20);
        }
        return this.pending.size;
    }

    close(): void {
        this.stopController.abort();
    }

    private updateGauge(): void {
        this.parts.metrics.gauge("basilpaddle_cancels_outstanding", this.pending.size);
    }

    private async cancelWithRetries(cancellation: PendingCancellation): Promise<void> {
        const confirmed = await this.retryUntilConfirmed(cancellation);
        if (confirmed && cancellation.inFlight) {
            await pause(this.parts.clock, maxInFlightMilliseconds, this.stopController.signal);
            await this.retryUntilConfirmed(cancellation);
        }
    }

    private async retryUntilConfirmed(cancellation: PendingCancellation): Promise<boolean> {
        let backoff = initialBackoffMilliseconds;
        while (!this.stopController.signal.aborted && !this.isGone(cancellation.backend)) {
            if (await this.cancelOnce(cancellation)) {
                return true;
            }
            this.parts.metrics.count("basilpaddle_cancel_retries_total");
            await pause(
                this.parts.clock,
                backoff * (0.5 + this.parts.randomness.fraction()),
                this.stopController.signal,
            );
            backoff = Math.min(maxBackoffMilliseconds, backoff * 2);
        }
        return false;
    }

    private async cancelOnce(cancellation: PendingCancellation): Promise<boolean> {
        const engine = this.parts.engines.acquireClient(cancellation.backend.url);
        try {
            return (await engine.cancel(cancellation.attempt, callTimeoutMilliseconds)).isRight();
        }
        catch (failure) {
            this.parts.logger.error("cancelling an attempt failed", {
                attempt: cancellation.attempt,
                failure: String(failure),
            });
            return false;
        }
        finally {
            this.parts.engines.releaseClient(cancellation.backend.url);
        }
    }

    private isGone(backend: Announcement): boolean {
        const known = this.parts.view().backends[backend.id];
        return known === undefined || known.state === "gone" || known.announcement.incarnation > backend.incarnation;
    }
}
