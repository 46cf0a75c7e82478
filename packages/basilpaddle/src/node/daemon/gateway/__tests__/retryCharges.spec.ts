import { expect } from "chai";
import { RetryCharges, type SendOutcome } from "../retryCharges.js";

/** An allowance with a number of retries, and the charges of one request to it. */
function chargesWith(retries: number): { readonly charges: RetryCharges; readonly retriesLeft: () => number; } {
    let retriesLeft = retries;
    const charges = RetryCharges.create({
        takeRetry: () => Promise.resolve(retriesLeft > 0 && retriesLeft-- > 0),
        returnRetry: () => {
            retriesLeft += 1;
        },
    }, "pool");
    return { charges, retriesLeft: () => retriesLeft };
}

/** Simulates one round that the allowance must permit, with the outcomes of its prefill, if there is one, and of its run. */
async function runRound(charges: RetryCharges, prefill: SendOutcome | undefined, run: SendOutcome): Promise<void> {
    const reports = (await charges.reserve(prefill !== undefined))!;
    if (prefill !== undefined) {
        reports.reportPrefill(prefill);
    }
    reports.reportRun(run);
}

describe("the charges of a request to the retry allowance", () => {
    it("are zero for a prefill that an engine accepts and the run after it", async () => {
        const { charges } = chargesWith(0);
        await runRound(charges, "read", "counted");
        expect(await charges.reserve(false)).to.equal(undefined);
    });

    // Guards against sending a service more than its retry allowance permits, as seen with 42 engines of which some had terminated:
    // a prefill failed, a second engine ran the prefill, a third one the run, which was then counted as the first send.
    it("count the run after a failed prefill as a retry", async () => {
        const { charges, retriesLeft } = chargesWith(1);
        await runRound(charges, "counted", "unreached");
        await runRound(charges, "read", "counted");
        expect(retriesLeft()).to.equal(0);
        expect(await charges.reserve(false)).to.equal(undefined);
    });

    // Guards against sending a service more than its retry allowance permits: the run beside one that is in progress wasn't charged.
    it("count a run beside one that is in progress as a retry, and its prefill as well", async () => {
        const { charges, retriesLeft } = chargesWith(2);
        const first = (await charges.reserve(true))!;
        first.reportPrefill("read");
        const second = (await charges.reserve(true))!;
        expect(retriesLeft()).to.equal(0);
        expect(await charges.reserve(false)).to.equal(undefined);
        second.reportPrefill("read");
        second.reportRun("counted");
        first.reportRun("counted");
        expect(retriesLeft()).to.equal(0);
    });

    it("are zero if no connection was established", async () => {
        const { charges, retriesLeft } = chargesWith(1);
        await runRound(charges, undefined, "counted");
        for (let number = 0; number < 5; number++) {
            await runRound(charges, undefined, "unreached");
        }
        expect(retriesLeft()).to.equal(1);
        await runRound(charges, undefined, "counted");
        expect(await charges.reserve(false)).to.equal(undefined);
    });

    it("include a second prefill that is accepted", async () => {
        const { charges, retriesLeft } = chargesWith(1);
        await runRound(charges, "read", "unreached");
        await runRound(charges, "read", "counted");
        expect(retriesLeft()).to.equal(0);
        expect(await charges.reserve(false)).to.equal(undefined);
    });

    // Guards against a prefill whose run is refused right after it because no retry is left. A prefill fails, or a run is
    // rejected and its cache expires, and the prefill of the next round takes the last retry. The retry for the run was
    // only requested after the prefill.
    it("are refused if a retry is left for the prefill, but none for the run", async () => {
        const { charges, retriesLeft } = chargesWith(1);
        await runRound(charges, "read", "counted");
        expect(await charges.reserve(true)).to.equal(undefined);
        expect(retriesLeft()).to.equal(1);
    });
});
