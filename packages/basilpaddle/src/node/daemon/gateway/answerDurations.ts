/** Number of answers of a route that are remembered. */
const maxRemembered = 128;
/** Fewer answers than this say nothing about the next one. */
const minRemembered = 10;

/** How long the recent answers of each route took, from the arrival of their requests. */
export class AnswerDurations {
    private readonly recent = new Map<string, number[]>();

    static create(): AnswerDurations {
        return new AnswerDurations();
    }

    /** Records an answer that was whole, after that many milliseconds. */
    record(route: string, milliseconds: number): void {
        const durations = this.recent.get(route) ?? [];
        durations.push(milliseconds);
        if (durations.length > maxRemembered) {
            durations.shift();
        }
        this.recent.set(route, durations);
    }

    /** Milliseconds within which that share of the recent answers of a route was whole; undefined if too few are known. */
    quantile(route: string, share: number): number | undefined {
        const durations = this.recent.get(route) ?? [];
        if (durations.length < minRemembered) {
            return undefined;
        }
        return [...durations].sort((one, other) => one - other)[Math.ceil(share * durations.length) - 1];
    }

    /** Forgets the routes that aren't named. */
    retain(routes: ReadonlySet<string>): void {
        [...this.recent.keys()].filter(route => !routes.has(route)).forEach(route => this.recent.delete(route));
    }
}
