/** Milliseconds for which a run that was turned away counts against its engines. */
const memory = 2_000;

type TurnAway = { readonly prefill: string | undefined; readonly decode: string; readonly at: number; };

/**
 * Judges which engine is at fault when a decode engine turns a run away: that one is full, or the engine that read the
 * prompt no longer has its KV cache, and the answer doesn't say which.
 *
 * The load that it answers: in a burst some engines turn slow and stay full, and elsewhere caches lapse at once. An
 * engine that is full turns away what several engines have read; one whose caches lapse has its prompts turned away by
 * several decode engines. Blaming the wrong one takes a sound engine out just when all are needed: with the prefill
 * engine blamed each time, 180 runs of a day of 2,500 were turned away by four decode engines while the sound prefill
 * engines stood still by turns.
 */
export class TurnAways {
    private recent: TurnAway[] = [];

    static create(): TurnAways {
        return new TurnAways();
    }

    /** Notes a run that was turned away. Gives the engine that is likelier at fault. */
    blame(prefill: string | undefined, decode: string, now: number): string {
        this.recent = this.recent.filter(one => now - one.at < memory);
        this.recent.push({ prefill, decode, at: now });
        if (prefill === undefined) {
            return decode;
        }
        const readers = new Set(this.recent.filter(one => one.decode === decode).map(one => one.prefill));
        const runners = new Set(this.recent.filter(one => one.prefill === prefill).map(one => one.decode));
        return runners.size > readers.size ? prefill : decode;
    }
}
