/**
 * Timeout of a test set-up. Long, as processes start one after another, and slowly on a loaded machine; no property of
 * the service is tested by it.
 */
export const setUpTimeoutMilliseconds = 240_000;

/** Resolves after the given milliseconds. */
export function pause(milliseconds: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, milliseconds));
}

/**
 * Polls until the result is neither `undefined` nor `false`, also after errors of a poll. Fails after `limit` milliseconds
 * with the name of the condition and the last error as its cause.
 */
export async function until<T>(what: string, ask: () => Promise<T | undefined | false>, limit = 30_000): Promise<T> {
    const end = performance.now() + limit;
    let last: unknown;
    while (performance.now() < end) {
        try {
            const answer = await ask();
            if (answer !== undefined && answer !== false) {
                return answer;
            }
        }
        catch (error) {
            last = error;
        }
        await pause(25);
    }
    throw new Error(`timed out waiting for ${what} after ${limit} ms`, { cause: last });
}
