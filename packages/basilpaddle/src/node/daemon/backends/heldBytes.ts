import { getHeapStatistics } from "node:v8";
import { minHeldBytes, smallBodiesFraction } from "../../protocol/index.js";
import {
    type Clock,
    createSilentLogger,
    type Logger,
    type Metrics,
    SilentMetrics,
    SystemClock,
} from "../../utils/index.js";
import { ReceivedBodies } from "./receivedBodies.js";

/** Part of the heap's limit that bodies may take if the settings state none: they are outside the heap, beside all else. */
const defaultHeapFraction = 1 / 10;
/** Time in milliseconds for which a body isn't read on, before one gives way. */
const pauseMilliseconds = 100;
/** A body of at most this many bytes may also use the part that is reserved for small ones. */
const smallBytes = 131_072;

/** Dependencies of `HeldBytes`. */
export type HeldBytesOptions = {
    /** Bytes that all bodies together may have. @default a tenth of the heap's limit, and at least room for `largest` */
    readonly limit?: number | undefined;
    /** Bytes of the largest single body. @default 0 */
    readonly largest?: number;
    readonly clock: Clock;
    readonly logger: Logger;
    readonly metrics: Metrics;
};

/** Whose body it is, for the log. */
export type Holder = Readonly<Record<string, string>>;

/** The bytes of one body that this process keeps. */
export class Holding {
    bytes = 0;
    private isReleased = false;

    constructor(
        private readonly account: HeldBytes,
        readonly holder: Holder,
        readonly abandon: (() => void) | undefined,
    ) {}

    /** Whether that many more bytes may be kept; resolves after a pause if others have used up the limit. False once it gave way. */
    reserve(bytes: number): Promise<boolean> | boolean {
        return !this.isReleased && this.account.reserve(this, bytes);
    }

    /** Whether that many more bytes may be kept at once in that part of the limit. @default what isn't reserved for small bodies */
    tryReserve(bytes: number, fraction = 1 - smallBodiesFraction): boolean {
        return !this.isReleased && this.account.tryReserve(this, bytes, fraction);
    }

    /** Whether it has been released, or gave way. */
    hasEnded(): boolean {
        return this.isReleased;
    }

    /** To be called once its bytes aren't kept any more. */
    release(): void {
        if (!this.isReleased) {
            this.isReleased = true;
            this.account.recordRelease(this);
        }
    }
}

type Waiter = {
    readonly holding: Holding;
    readonly bytes: number;
    readonly dueAt: number;
    readonly resolve: (mayKeep: boolean) => void;
};

/**
 * Account of the bytes of all bodies that this process keeps. Once the limit is reached, bodies are read on only as others are
 * released; after a pause, the largest one that is still being read gives way.
 */
export class HeldBytes {
    readonly limit: number;
    /** The bodies that callers send. */
    readonly received: ReceivedBodies;
    private readonly holdings = new Set<Holding>();
    private waiters: Waiter[] = [];
    private held = 0;
    private cancelTimer: (() => void) | undefined;

    private constructor(private readonly options: HeldBytesOptions) {
        const share = Math.floor(getHeapStatistics().heap_size_limit * defaultHeapFraction);
        this.limit = options.limit ?? Math.max(share, minHeldBytes(options.largest ?? 0));
        this.received = ReceivedBodies.create(this, options.clock, options.logger, options.metrics);
    }

    static create(options: HeldBytesOptions): HeldBytes {
        return new HeldBytes(options);
    }

    /** The default limit, without logs and metrics. */
    static createDefault(): HeldBytes {
        const clock = SystemClock.create();
        return new HeldBytes({ clock, logger: createSilentLogger(), metrics: SilentMetrics.create() });
    }

    /** Bytes that are kept now. */
    get bytes(): number {
        return this.held;
    }

    /** Begins to keep a body. `abandon`: closes the connection that it is read from, if it gives way. @default it never does */
    hold(holder: Holder, abandon?: () => void): Holding {
        const holding = new Holding(this, holder, abandon);
        this.holdings.add(holding);
        return holding;
    }

    /** Counts a body that is already kept, whether or not there is room. */
    take(holder: Holder, bytes: number): Holding {
        const holding = this.hold(holder);
        this.add(holding, bytes);
        return holding;
    }

    /** Whether a body that can't wait may be kept, if its kind may use that part of the limit. */
    tryReserve(holding: Holding, bytes: number, fraction: number): boolean {
        const fits = this.held + bytes <= this.limit * fraction;
        if (fits) {
            this.add(holding, bytes);
        }
        return fits;
    }

    /** For `Holding`. */
    reserve(holding: Holding, bytes: number): Promise<boolean> | boolean {
        if (this.fits(holding, bytes)) {
            this.add(holding, bytes);
            return true;
        }
        const { clock, metrics } = this.options;
        metrics.count("basilpaddle_body_pauses_total");
        return new Promise(resolve => {
            this.waiters.push({ holding, bytes, dueAt: clock.monotonic() + pauseMilliseconds, resolve });
            this.cancelTimer ??= clock.after(pauseMilliseconds, () => this.endPauses());
        });
    }

    /** For `Holding`. */
    recordRelease(holding: Holding): void {
        this.holdings.delete(holding);
        this.held -= holding.bytes;
        const isOfHolding = (waiter: Waiter): boolean => waiter.holding === holding;
        const ended = this.waiters.filter(isOfHolding);
        this.waiters = this.waiters.filter(waiter => !isOfHolding(waiter));
        ended.forEach(({ resolve }) => resolve(false));
        this.admitWaiters();
    }

    /** Sets the gauges of the bodies that are kept. */
    measure(metrics: Metrics): void {
        metrics.gauge("basilpaddle_held_bytes", this.held);
        metrics.gauge("basilpaddle_held_bytes_limit", this.limit);
    }

    private fits(holding: Holding, bytes: number): boolean {
        const isSmall = holding.bytes + bytes <= smallBytes;
        return this.held + bytes <= this.limit * (isSmall ? 1 : 1 - smallBodiesFraction);
    }

    private add(holding: Holding, bytes: number): void {
        holding.bytes += bytes;
        this.held += bytes;
    }

    private admitWaiters(): void {
        this.waiters = this.waiters.filter(({ holding, bytes, resolve }) => {
            if (!this.fits(holding, bytes)) {
                return true;
            }
            this.add(holding, bytes);
            resolve(true);
            return false;
        });
    }

    private endPauses(): void {
        const { clock } = this.options;
        this.cancelTimer = undefined;
        const now = clock.monotonic();
        for (let first = this.waiters[0]; first !== undefined && first.dueAt <= now; first = this.waiters[0]) {
            this.giveWay(this.largest() ?? first.holding);
        }
        const next = this.waiters[0];
        if (next !== undefined) {
            this.cancelTimer = clock.after(Math.max(1, next.dueAt - now), () => this.endPauses());
        }
    }

    /** The largest body that is still being read; undefined if there is none. */
    private largest(): Holding | undefined {
        return [...this.holdings].filter(({ abandon }) => abandon !== undefined)
            .sort((one, other) => other.bytes - one.bytes)[0];
    }

    private giveWay(holding: Holding): void {
        const { logger, metrics } = this.options;
        metrics.count("basilpaddle_bodies_given_way_total");
        logger.warn("a body gave way: all bodies together reached the limit", {
            ...holding.holder,
            bytes: holding.bytes,
            held: this.held,
            limit: this.limit,
            bodies: this.holdings.size,
        });
        holding.abandon?.();
        holding.release();
    }
}
