import type { RetryAllowance } from "./retryAllowance.js";

/** The retry of one request that was taken from its service's allowance and isn't spent yet. */
export class HeldRetry {
    private isHeld = false;

    private constructor(
        private readonly allowance: Pick<RetryAllowance, "takeRetry" | "returnRetry">,
        private readonly service: string,
    ) {}

    static create(allowance: Pick<RetryAllowance, "takeRetry" | "returnRetry">, service: string): HeldRetry {
        return new HeldRetry(allowance, service);
    }

    /** Takes a retry unless one is held; returns false if none is available. One call at a time. */
    async take(): Promise<boolean> {
        this.isHeld ||= await this.allowance.takeRetry(this.service);
        return this.isHeld;
    }

    /** Spends a retry, the held one if there is one; returns false if none is available. */
    async spend(): Promise<boolean> {
        const isTaken = await this.take();
        this.isHeld = false;
        return isTaken;
    }

    /** Returns the retry if it is still held. */
    release(): void {
        if (this.isHeld) {
            this.isHeld = false;
            this.allowance.returnRetry(this.service);
        }
    }
}
