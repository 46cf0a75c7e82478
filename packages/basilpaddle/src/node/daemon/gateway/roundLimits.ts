import type { CallerRequest } from "./callerRequest.js";

/** Limit of rounds per request; a round is a placement, a prefill and a run. */
const maxRounds = 4;
const minAnswerMilliseconds = 5;
/** Number of failed connections to engines that aren't counted as rounds. */
const maxUncountedConnectionFailures = 6;

/** How many more rounds and runs one request may have, and at which engines. */
export class RoundLimits {
    private rounds = 0;
    /** Number of runs that were lost or are in progress. */
    private runs = 0;
    private connectionFailures = 0;
    private readonly excluded: string[] = [];
    private readonly busy = new Set<string>();

    private constructor(private readonly request: CallerRequest) {}

    static create(request: CallerRequest): RoundLimits {
        return new RoundLimits(request);
    }

    /** Counts a round if it counts now: others do so once they have an engine. */
    countRound(counts: boolean): void {
        this.rounds += Number(counts);
    }

    /**
     * `unreached`: whether no connection to the engine was established. That doesn't count as a round, since the engine has received nothing. When a quarter of the engines crash
     * at once, a request may be placed on several of them before their end is reported.
     */
    discountConnection(unreached: boolean): void {
        if (unreached) {
            this.connectionFailures += 1;
            this.rounds -= this.connectionFailures <= maxUncountedConnectionFailures ? 1 : 0;
        }
    }

    /** Records the start of a run; the returned function records its end: whether the engine turned it away, so that it doesn't count. */
    startRun(engine: string): (isTurnedAway: boolean) => void {
        this.runs += 1;
        this.busy.add(engine);
        return isTurnedAway => {
            this.busy.delete(engine);
            this.runs -= Number(isTurnedAway);
        };
    }

    /** Excludes an engine from all further rounds. */
    exclude(engine: string): void {
        this.excluded.push(engine);
    }

    /** Engines that are excluded, or at which a run is in progress. */
    enginesToAvoid(): readonly string[] {
        return [...this.excluded, ...this.busy];
    }

    /** Whether a run is in progress at the engine. */
    isBusy(engine: string): boolean {
        return this.busy.has(engine);
    }

    /** Whether a run was lost or is in progress. */
    haveRun(): boolean {
        return this.runs > 0;
    }

    /** Whether the route allows a run on one more engine. */
    mayRun(): boolean {
        return this.runs < Math.max(1, this.request.route.attempts);
    }

    /** Whether one more round is possible. */
    mayPlay(): boolean {
        return this.rounds < maxRounds && !this.isTimeOver();
    }

    /** Whether too little time is left for an answer. */
    isTimeOver(): boolean {
        return this.request.remainingTime() < minAnswerMilliseconds;
    }
}
