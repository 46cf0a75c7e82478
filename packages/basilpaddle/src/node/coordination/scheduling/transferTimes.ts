import type { TrackedEngine } from "./trackedEngine.js";

/** Initial estimate of the transfer time of the KV cache of one prompt token. */
const defaultTokenMilliseconds = 0.03;
/** Weight of one transfer in the moving average. */
const sampleWeight = 0.1;
/** A transfer that took more than this multiple of the expected time was stalled, and isn't a sample of the link's rate. */
const stalledFactor = 8;

/** Moving averages of KV cache transfer times between engines, within a failure domain and across failure domains. */
export class TransferTimes {
    private sameDomainTokenTime = defaultTokenMilliseconds;
    private crossDomainTokenTime = defaultTokenMilliseconds;

    static create(): TransferTimes {
        return new TransferTimes();
    }

    /** Expected transfer time in milliseconds of a prompt with this many tokens. */
    expected(prefill: TrackedEngine, decode: TrackedEngine, tokens: number): number {
        return tokens * (shareFailureDomain(prefill, decode) ? this.sameDomainTokenTime : this.crossDomainTokenTime);
    }

    /** Records the duration in milliseconds of a transfer that had the link to itself. */
    recordTransfer(prefill: TrackedEngine, decode: TrackedEngine, tokens: number, milliseconds: number): void {
        if (tokens === 0 || milliseconds > stalledFactor * this.expected(prefill, decode, tokens) + 50) {
            return;
        }
        const tokenTime = milliseconds / tokens;
        if (shareFailureDomain(prefill, decode)) {
            this.sameDomainTokenTime += sampleWeight * (tokenTime - this.sameDomainTokenTime);
        }
        else {
            this.crossDomainTokenTime += sampleWeight * (tokenTime - this.crossDomainTokenTime);
        }
    }
}

function shareFailureDomain(prefill: TrackedEngine, decode: TrackedEngine): boolean {
    return prefill.announcement.failureDomain === decode.announcement.failureDomain;
}
