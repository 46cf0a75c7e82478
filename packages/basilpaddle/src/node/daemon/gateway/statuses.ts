/** Statuses that guarantee to a caller that its request hasn't run and never will. */
const notRunStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** Whether a status guarantees that the request hasn't run; an answer of a server that may have run it mustn't be forwarded. */
export function guaranteesNotRun(status: number): boolean {
    return notRunStatuses.has(status);
}
