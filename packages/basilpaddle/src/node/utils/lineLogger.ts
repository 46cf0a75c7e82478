import { write } from "node:fs";
import { type ILogObjMeta, Logger as TslogLogger } from "tslog";
import { type Logger, type LogLevel, logLevels } from "./logger.js";

/** File descriptor of standard output. */
const standardOutput = 1;
/** Lines a second that one kind of line may take, by its message; a storm of one kind leaves room for the others. */
const linesPerKind = 200;
/** Bytes a second of all lines, and bytes that may wait for a slow reader. */
const bytesPerSecond = 512 * 1024;
const waitingLimit = 1024 * 1024;
const second = 1_000;
/** Milliseconds before a full pipe is tried again. */
const fullPipePause = 20;

/** Takes whole lines and never blocks. */
export abstract class LineOutput {
    /** Writes bytes; calls back when the next may come. */
    abstract write(bytes: Buffer, done: () => void): void;
}

/**
 * Standard output, written by the thread pool one batch after another. The runtime writes to a pipe on the main thread:
 * a reader that stalls would stop the whole daemon.
 */
export class StandardOutput extends LineOutput {
    static create(): StandardOutput {
        return new StandardOutput();
    }

    override write(bytes: Buffer, done: () => void): void {
        write(standardOutput, bytes, (error, written) => {
            if (error?.code === "EAGAIN") {
                setTimeout(() => this.write(bytes, done), fullPipePause);
                return;
            }
            if (!error && written < bytes.length) {
                this.write(bytes.subarray(written), done);
                return;
            }
            // There is nowhere to say that standard output is gone; the lines are lost and the daemon goes on.
            done();
        });
    }
}

/** Bounds the lines of a daemon in rate and in memory, and counts what it drops. */
export class BoundedLines {
    private readonly kinds = new Map<string, number>();
    private readonly dropped = new Map<string, number>();
    private waiting: Buffer[] = [];
    private waitingBytes = 0;
    private bytes = 0;
    private since = 0;
    private busy = false;

    private constructor(
        private readonly output: LineOutput,
        private readonly now: () => number,
        private readonly report: (dropped: Readonly<Record<string, number>>) => string,
    ) {}

    /** `report`: writes the line that tells how many lines of each kind were dropped. */
    static create(
        output: LineOutput,
        now: () => number,
        report: (dropped: Readonly<Record<string, number>>) => string,
    ): BoundedLines {
        return new BoundedLines(output, now, report);
    }

    /** Takes a line, or drops it where its kind or all lines together are over their bounds. */
    line(kind: string, text: string): void {
        this.turn();
        const count = (this.kinds.get(kind) ?? 0) + 1;
        this.kinds.set(kind, count);
        const over = count > linesPerKind || this.bytes > bytesPerSecond || this.waitingBytes > waitingLimit;
        if (over) {
            this.dropped.set(kind, (this.dropped.get(kind) ?? 0) + 1);
            return;
        }
        this.push(text);
    }

    private turn(): void {
        const now = this.now();
        if (now - this.since < second) {
            return;
        }
        this.since = now;
        this.bytes = 0;
        this.kinds.clear();
        if (this.dropped.size > 0 && this.waitingBytes <= waitingLimit) {
            this.push(this.report(Object.fromEntries(this.dropped)));
            this.dropped.clear();
        }
    }

    private push(text: string): void {
        const bytes = Buffer.from(`${text}\n`);
        this.bytes += bytes.length;
        this.waitingBytes += bytes.length;
        this.waiting.push(bytes);
        if (!this.busy) {
            this.busy = true;
            setImmediate(() => this.flush());
        }
    }

    private flush(): void {
        if (this.waiting.length === 0) {
            this.busy = false;
            return;
        }
        const batch = Buffer.concat(this.waiting);
        this.waiting = [];
        this.output.write(batch, () => {
            this.waitingBytes -= batch.length;
            this.flush();
        });
    }
}

/** Creates the root logger of a daemon whose lines are bounded and never block: one JSON object a line. */
export function createLineLogger(
    name: string,
    level: LogLevel,
    output: LineOutput = StandardOutput.create(),
    now: () => number = () => performance.now(),
): Logger {
    const entry = (levelName: string, message: string, details: object): string => {
        return JSON.stringify({ at: new Date().toISOString(), level: levelName, daemon: name, message, ...details });
    };
    const lines = BoundedLines.create(output, now, dropped => entry("WARN", "log lines were dropped", { dropped }));
    const logger = new TslogLogger<unknown>({ name, type: "hidden", minLevel: logLevels.indexOf(level) });
    logger.attachTransport(logged => {
        const { 0: message, 1: details, _meta: meta } = logged as ILogObjMeta & { 0?: unknown; 1?: unknown; };
        const kind = String(message);
        lines.line(kind, entry(meta?.logLevelName ?? "INFO", kind, readable(details)));
    });
    return logger;
}

/** The details of a line, with what errors say: their members aren't enumerable. */
function readable(details: unknown): object {
    if (typeof details !== "object" || !details) {
        return details === undefined ? {} : { details };
    }
    const members = Object.entries(details).map(([key, value]) => [key, errorAware(value)] as const);
    return Object.fromEntries(members);
}

function errorAware(value: unknown): unknown {
    return value instanceof Error ? { name: value.name, message: value.message, stack: value.stack } : value;
}
