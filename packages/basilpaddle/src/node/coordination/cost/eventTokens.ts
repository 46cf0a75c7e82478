/** Tokens of one event assumed until answers are known: engines write 11 or 13 of them at once. */
export const assumedEventTokens = 12;
/** Weight of one answer in the moving average. */
const answerWeight = 0.05;
/** Answers after which the average is used. */
const minAnswers = 20;
/** Bounds of a plausible number of tokens of one event. */
const minEventTokens = 0.5;
const maxEventTokens = 10_000;

/**
 * Learns how many tokens an event holds, from expected tokens and counted events of complete answers. The average is that of
 * the logarithm, since expectations are right at the median but some are off by a large factor.
 */
export class EventTokens {
    private logMean = Math.log(assumedEventTokens);
    private answers = 0;

    static create(): EventTokens {
        return new EventTokens();
    }

    /** Records a complete answer; invalid values are ignored. */
    recordAnswer(expectedTokens: number, events: number): void {
        const tokens = expectedTokens / events;
        if (tokens >= minEventTokens && tokens <= maxEventTokens) {
            this.answers += 1;
            this.logMean += Math.max(answerWeight, 1 / this.answers) * (Math.log(tokens) - this.logMean);
        }
    }

    /** Tokens of one event; undefined until enough answers are known. */
    mean(): number | undefined {
        return this.answers < minAnswers ? undefined : Math.exp(this.logMean);
    }
}
