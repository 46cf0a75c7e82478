/** Milliseconds for a set-up: processes start one after the other, and slowly beside load; nothing of the service is judged by it. */
export const setUpLimit = 240_000;

/** Waits for the given milliseconds. */
export function pause(milliseconds: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, milliseconds));
}

/** Asks again and again until the answer is there; fails with the name of what was waited for. */
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
    throw new Error(`${what} didn't come about in ${limit} ms`, { cause: last });
}
