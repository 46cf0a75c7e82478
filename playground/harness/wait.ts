/**
 * Timeout of a test set-up. Long, as processes start one after another, and slowly on a loaded machine; no property of
 * the service is tested by it.
 */
export const setUpTimeoutMilliseconds = 240_000;

/** Resolves after the given milliseconds. */
export function pause(milliseconds: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, milliseconds));
}

/** Blocks the event loop of this thread; what arrives meanwhile is found together. */
export function blockEventLoop(milliseconds: number): void {
    Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, milliseconds);
}

/**
 * Polls until the result is neither `undefined` nor `false`, also after errors of a poll. Fails after `limit` milliseconds
 * with the name of the condition and the last error as its cause.
 */
export async function until<T>(
    condition: string,
    poll: () => Promise<T | undefined | false>,
    limit = 30_000,
): Promise<T> {
    const deadline = performance.now() + limit;
    let lastError: unknown;
    while (performance.now() < deadline) {
        try {
            const answer = await poll();
            if (answer !== undefined && answer !== false) {
                return answer;
            }
        }
        catch (error) {
            lastError = error;
        }
        await pause(25);
    }
    throw new Error(`timed out waiting for ${condition} after ${limit} ms`, { cause: lastError });
}
