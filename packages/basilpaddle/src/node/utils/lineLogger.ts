import { write } from "node:fs";
import { type ILogObjMeta, Logger as TslogLogger } from "tslog";
import { type Logger, type LogLevel, logLevels } from "./logger.js";

const standardOutputDescriptor = 1;
/** Maximum number of lines per second with the same message, so that a burst of one message doesn't suppress the others. */
const maxLinesPerMessageAndSecond = 200;
/** Maximum bytes per second of all lines, and maximum bytes buffered for a slow reader. */
const maxBytesPerSecond = 512 * 1024;
const maxPendingBytes = 1024 * 1024;
const windowMilliseconds = 1_000;
/** Delay before writing to a full pipe is retried. */
const fullPipeRetryMilliseconds = 20;

/** Destination for complete lines; writes never block. */
export abstract class LineOutput {
    /** Writes the bytes and calls `done` when the next write may start. */
    abstract write(bytes: Buffer, done: () => void): void;
}

/**
 * Standard output, written in successive batches by the thread pool. `process.stdout` writes to a pipe synchronously on the
 * main thread, so a stalled reader would block the whole daemon.
 */
export class StandardOutput extends LineOutput {
    static create(): StandardOutput {
        return new StandardOutput();
    }

    override write(bytes: Buffer, done: () => void): void {
        write(standardOutputDescriptor, bytes, (error, written) => {
            if (error?.code === "EAGAIN") {
                setTimeout(() => this.write(bytes, done), fullPipeRetryMilliseconds);
                return;
            }
            if (!error && written < bytes.length) {
                this.write(bytes.subarray(written), done);
                return;
            }
            // A failure of standard output can't be reported anywhere: the lines are dropped and the daemon continues.
            done();
        });
    }
}

/** Limits the rate and the buffered bytes of a daemon's log lines, and counts dropped lines. */
export class RateLimitedWriter {
    private readonly lineCounts = new Map<string, number>();
    private readonly dropped = new Map<string, number>();
    private pending: Buffer[] = [];
    private pendingBytes = 0;
    private windowBytes = 0;
    private windowStart = 0;
    private flushing = false;

    private constructor(
        private readonly output: LineOutput,
        private readonly now: () => number,
        private readonly report: (dropped: Readonly<Record<string, number>>) => string,
    ) {}

    /** `report`: formats the line that reports how many lines with each message were dropped. */
    static create(
        output: LineOutput,
        now: () => number,
        report: (dropped: Readonly<Record<string, number>>) => string,
    ): RateLimitedWriter {
        return new RateLimitedWriter(output, now, report);
    }

    /** Queues a line, or drops it if the limit for its message (`kind`) or for all lines is exceeded. */
    writeLine(kind: string, text: string): void {
        this.advanceWindow();
        const count = (this.lineCounts.get(kind) ?? 0) + 1;
        this.lineCounts.set(kind, count);
        const overLimit = count > maxLinesPerMessageAndSecond || this.windowBytes > maxBytesPerSecond
            || this.pendingBytes > maxPendingBytes;
        if (overLimit) {
            this.dropped.set(kind, (this.dropped.get(kind) ?? 0) + 1);
            return;
        }
        this.enqueue(text);
    }

    private advanceWindow(): void {
        const now = this.now();
        if (now - this.windowStart < windowMilliseconds) {
            return;
        }
        this.windowStart = now;
        this.windowBytes = 0;
        this.lineCounts.clear();
        if (this.dropped.size > 0 && this.pendingBytes <= maxPendingBytes) {
            this.enqueue(this.report(Object.fromEntries(this.dropped)));
            this.dropped.clear();
        }
    }

    private enqueue(text: string): void {
        const bytes = Buffer.from(`${text}\n`);
        this.windowBytes += bytes.length;
        this.pendingBytes += bytes.length;
        this.pending.push(bytes);
        if (!this.flushing) {
            this.flushing = true;
            setImmediate(() => this.flush());
        }
    }

    private flush(): void {
        if (this.pending.length === 0) {
            this.flushing = false;
            return;
        }
        const batch = Buffer.concat(this.pending);
        this.pending = [];
        this.output.write(batch, () => {
            this.pendingBytes -= batch.length;
            this.flush();
        });
    }
}

/** Creates the root logger of a daemon, rate-limited and non-blocking: one JSON object per line. */
export function createLineLogger(
    name: string,
    level: LogLevel,
    output: LineOutput = StandardOutput.create(),
    now: () => number = () => performance.now(),
): Logger {
    const formatEntry = (levelName: string, message: string, details: object): string => {
        return JSON.stringify({ at: new Date().toISOString(), level: levelName, daemon: name, message, ...details });
    };
    const lines = RateLimitedWriter.create(
        output,
        now,
        dropped => formatEntry("WARN", "log lines were dropped", { dropped }),
    );
    const logger = new TslogLogger<unknown>({ name, type: "hidden", minLevel: logLevels.indexOf(level) });
    logger.attachTransport(entry => {
        const { 0: message, 1: details, _meta: meta } = entry as ILogObjMeta & { 0?: unknown; 1?: unknown; };
        const kind = String(message);
        lines.writeLine(kind, formatEntry(meta?.logLevelName ?? "INFO", kind, serializableDetails(details)));
    });
    return logger;
}

/** Makes errors in the details of a line serializable: the properties of an error aren't enumerable. */
function serializableDetails(details: unknown): object {
    if (typeof details !== "object" || !details) {
        return details === undefined ? {} : { details };
    }
    const members = Object.entries(details).map(([key, value]) => [key, serializableError(value)] as const);
    return Object.fromEntries(members);
}

function serializableError(value: unknown): unknown {
    return value instanceof Error ? { name: value.name, message: value.message, stack: value.stack } : value;
}
