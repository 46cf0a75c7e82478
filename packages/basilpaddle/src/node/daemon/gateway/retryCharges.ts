import type { RetryAllowance } from "./retryAllowance.js";

/** Outcome of sending a request to an engine, as the retry allowance counts it. */
export type SendOutcome =
    /** No connection was established: the engine has received nothing. */
    | "unreached"
    /** The engine accepted a prefill. */
    | "read"
    /** Anything else that reached an engine, rejected requests included. */
    | "counted";

/** Reports the outcome of one send. */
export type ReportSendOutcome = (outcome: SendOutcome) => void;

/** Report the outcomes of one round: that of the prefill, if there is one, and last that of the run. */
export type RoundReports = { readonly reportPrefill: ReportSendOutcome; readonly reportRun: ReportSendOutcome; };

/**
 * Counts what reaches engines for one request, and charges everything after the first to the retry allowance. The first
 * prefill that an engine accepts is free. A prefill that fails or is rejected counts like a run, so that the run after it
 * is already a retry.
 */
export class RetryCharges {
    private sentCount = 0;
    /** Rounds whose run hasn't been reported: a second one may be sent while the first is in progress. */
    private openRounds = 0;
    private isNextPrefillFree = true;

    private constructor(
        private readonly allowance: Pick<RetryAllowance, "takeRetry" | "returnRetry">,
        private readonly service: string,
    ) {}

    static create(allowance: Pick<RetryAllowance, "takeRetry" | "returnRetry">, service: string): RetryCharges {
        return new RetryCharges(allowance, service);
    }

    /**
     * Reserves the retries that a round needs for its prefill and its run together; undefined if too few are left.
     * Reserving them one by one would waste the prefill of a run that may not be sent any more.
     */
    async reserve(prefills: boolean): Promise<RoundReports | undefined> {
        const chargesPrefill = prefills && !this.isNextPrefillFree;
        const isRetry = this.sentCount > 0 || this.openRounds > 0;
        const needed = Number(chargesPrefill && isRetry) + Number(chargesPrefill || isRetry);
        if (!await this.takeRetries(needed)) {
            return undefined;
        }
        this.openRounds += 1;
        let unused = needed;
        const report = (outcome: SendOutcome): void => {
            unused -= this.charge(outcome);
        };
        return {
            reportPrefill: report,
            reportRun: outcome => {
                report(outcome);
                this.openRounds -= 1;
                this.returnRetries(unused);
            },
        };
    }

    private async takeRetries(retries: number): Promise<boolean> {
        for (let takenCount = 0; takenCount < retries; takenCount++) {
            if (!await this.allowance.takeRetry(this.service)) {
                this.returnRetries(takenCount);
                return false;
            }
        }
        return true;
    }

    /** Counts a send; returns the number of retries that it costs. */
    private charge(outcome: SendOutcome): number {
        const isFree = outcome === "unreached" || (outcome === "read" && this.isNextPrefillFree);
        if (outcome === "read") {
            this.isNextPrefillFree = false;
        }
        if (isFree) {
            return 0;
        }
        this.sentCount += 1;
        return this.sentCount > 1 || this.openRounds > 1 ? 1 : 0;
    }

    private returnRetries(retries: number): void {
        for (let returnedCount = 0; returnedCount < retries; returnedCount++) {
            this.allowance.returnRetry(this.service);
        }
    }
}
