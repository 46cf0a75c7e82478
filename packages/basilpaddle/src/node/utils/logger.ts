import { type IMeta, Logger as TslogLogger } from "tslog";

/** Log levels by ascending severity; a logger writes its own level and more severe ones. */
export const logLevels = ["silly", "trace", "debug", "info", "warn", "error", "fatal"] as const;

/** One of the log levels. */
export type LogLevel = (typeof logLevels)[number];

/** Logger passed to every component. `getSubLogger({ name })` creates a scoped logger. */
export type Logger = TslogLogger<unknown>;

/** Creates the root logger of a daemon: one JSON object per line on standard output. */
export function createLogger(name: string, level: LogLevel): Logger {
    return new TslogLogger({
        name,
        type: "json",
        minLevel: logLevels.indexOf(level),
        hideLogPositionForProduction: true,
        // Without this each line contains `parentNames` and `path` with the text "[undefined]".
        overwrite: {
            mask: values => values.map(withReadableErrors),
            includeDefaultMetaInAddMeta: true,
            addMeta: (content, _levelId, _levelName, meta) => ({
                ...(content as object),
                _meta: withoutUndefined(meta),
            }),
        },
    });
}

/** Creates a logger that discards everything, for tests and one-shot commands. */
export function createSilentLogger(): Logger {
    return new TslogLogger({ type: "hidden" });
}

/** Without this an error inside an object is written as `{}`, since its properties aren't enumerable, and its cause is lost. */
function withReadableErrors(value: unknown): unknown {
    if (typeof value !== "object" || value === undefined || value instanceof Error) {
        return value;
    }
    const members = Object.entries(value ?? {}).map(([key, member]) => [key, toReadableError(member)] as const);
    return members.some(([, member]) => member instanceof ReadableError) ? Object.fromEntries(members) : value;
}

class ReadableError {
    constructor(readonly name: string, readonly message: string, readonly stack: string | undefined) {}
}

function toReadableError(member: unknown): unknown {
    return member instanceof Error ? new ReadableError(member.name, member.message, member.stack) : member;
}

function withoutUndefined(meta: IMeta | undefined): IMeta {
    return Object.fromEntries(Object.entries(meta ?? {}).filter(([, value]) => value !== undefined)) as IMeta;
}
