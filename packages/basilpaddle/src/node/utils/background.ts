import type { Logger } from "./logger.js";

/**
 * Runs a task that nobody awaits, and logs its error: as an unhandled rejection, the failure of one task would terminate the
 * daemon. `message` and `fields`: what the task is, for the log.
 */
export function runInBackground(
    task: Promise<unknown>,
    logger: Logger,
    message: string,
    fields: Readonly<Record<string, unknown>> = {},
): void {
    task.catch((error: unknown) => logger.error(message, { ...fields, error }));
}
