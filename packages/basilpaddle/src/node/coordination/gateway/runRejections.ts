/** How long a rejected run is considered in finding the engine at fault. */
const rejectionWindowMilliseconds = 2_000;

type RunRejection = { readonly prefill: string | undefined; readonly decode: string; readonly at: number; };

/**
 * Determines which engine is at fault when a decode engine rejects a run: either the decode engine is full, or the prefill
 * engine no longer has the KV cache; the response doesn't say which.
 *
 * During a burst some engines become slow and stay full, while at others KV caches expire at once. A full decode engine
 * rejects runs of several prefill engines; a prefill engine whose caches expire has its runs rejected by several decode
 * engines. Blaming the wrong one pauses a healthy engine when all are needed: if the prefill engine were always blamed, a
 * few full decode engines would get healthy prefill engines paused in turn.
 */
export class RunRejections {
    private recentRejections: RunRejection[] = [];

    static create(): RunRejections {
        return new RunRejections();
    }

    /** Records a rejected run; returns the identifier of the engine that is more likely at fault. */
    recordRejection(prefill: string | undefined, decode: string, now: number): string {
        this.recentRejections = this.recentRejections.filter(one => now - one.at < rejectionWindowMilliseconds);
        this.recentRejections.push({ prefill, decode, at: now });
        if (prefill === undefined) {
            return decode;
        }
        const prefillEngines = new Set(
            this.recentRejections.filter(one => one.decode === decode).map(one => one.prefill),
        );
        const decodeEngines = new Set(
            this.recentRejections.filter(one => one.prefill === prefill).map(one => one.decode),
        );
        return decodeEngines.size > prefillEngines.size ? prefill : decode;
    }
}
