import { getHeapStatistics } from "node:v8";
import type { Clock, Metrics } from "../../utils/index.js";

/** Part of the heap's limit that connections may take if the settings state none. */
const defaultHeapFraction = 0.35;
/** Part of the limit that is left to connections which want little. */
const littleFraction = 1 / 4;
const tightFraction = 1 / 2;
/** What a head of usual size takes at most. */
const littleBytes = 262_144;
/** How long a connection waits for room before others give way, and how long before it does so itself. */
const pauseMilliseconds = 50;
const maxWaitMilliseconds = 2_000;

/** One holder of a share of `ConnectionMemory`. */
export abstract class MemoryHolder {
    /** Bytes that it holds now, by its own estimate; for `ConnectionMemory`. */
    held = 0;

    /** Whether it can give way now: nothing of it is being served. */
    abstract mayGiveWay(): boolean;

    /** Gives way to others. */
    abstract giveWay(): void;

    /** Called when it may ask again for the room that it waits for. */
    abstract onRoom(): void;
}

type Wait = { readonly bytes: number; readonly since: number; };

/**
 * Account of what the connections of all listeners of a process hold. A connection asks before more of its bytes are parsed; without
 * room it waits, the ones that want least first. After a pause the largest one that isn't being served gives way.
 */
export class ConnectionMemory {
    readonly limit: number;
    private readonly holders = new Set<MemoryHolder>();
    private readonly waits = new Map<MemoryHolder, Wait>();
    private used = 0;
    private cancelTimer: (() => void) | undefined;

    private constructor(limit: number | undefined, private readonly clock: Clock) {
        this.limit = limit ?? Math.floor(getHeapStatistics().heap_size_limit * defaultHeapFraction);
    }

    /** `limit`: bytes. @default 0.35 of the heap's limit */
    static create(limit: number | undefined, clock: Clock): ConnectionMemory {
        return new ConnectionMemory(limit, clock);
    }

    /** States what a holder holds now, in bytes. */
    update(holder: MemoryHolder, bytes: number): void {
        this.holders.add(holder);
        this.used += bytes - holder.held;
        const isLess = bytes < holder.held;
        holder.held = bytes;
        if (isLess) {
            this.admitWaiting();
        }
    }

    /** Ends a holder's share and its wait. */
    release(holder: MemoryHolder): void {
        this.waits.delete(holder);
        this.holders.delete(holder);
        this.used -= holder.held;
        holder.held = 0;
        this.admitWaiting();
    }

    /** Whether a holder may take up to that many more bytes; if not, `onRoom` follows, or it gives way. */
    hasRoom(holder: MemoryHolder, bytes: number): boolean {
        if (this.fits(bytes)) {
            this.waits.delete(holder);
            return true;
        }
        if (!this.waits.has(holder)) {
            this.waits.set(holder, { bytes, since: this.clock.monotonic() });
        }
        this.cancelTimer ??= this.clock.after(pauseMilliseconds, () => this.endPause());
        return false;
    }

    /** Whether over half of the limit is used, so that a connection sends one request at a time. */
    isTight(): boolean {
        return this.used > this.limit * tightFraction;
    }

    /** Whether more than the limit is held: bytes that came and can't be parsed count too. */
    isExceeded(): boolean {
        return this.used > this.limit;
    }

    /** Sets the gauges of what is held. */
    measure(metrics: Metrics): void {
        metrics.gauge("basilpaddle_connections", this.holders.size);
        metrics.gauge("basilpaddle_connection_bytes", this.used);
        metrics.gauge("basilpaddle_connection_bytes_limit", this.limit);
        metrics.gauge("basilpaddle_connections_waiting", this.waits.size);
    }

    private fits(bytes: number): boolean {
        return this.used + bytes <= this.limit * (bytes <= littleBytes ? 1 : 1 - littleFraction);
    }

    private admitWaiting(): void {
        if (this.waits.size === 0) {
            return;
        }
        let room = this.limit - this.used;
        const waiting = [...this.waits].sort(([, one], [, other]) =>
            one.bytes - other.bytes || one.since - other.since
        );
        for (const [holder, { bytes }] of waiting) {
            if (bytes > room || !this.fits(bytes)) {
                return;
            }
            room -= bytes;
            this.waits.delete(holder);
            holder.onRoom();
        }
    }

    /** Lets the largest ones give way, until the least that is waited for has room. */
    private endPause(): void {
        this.cancelTimer = undefined;
        const now = this.clock.monotonic();
        // One that is being served waits until its own answers have ended.
        const isOverdue = ([holder, { since }]: readonly [MemoryHolder, Wait]): boolean =>
            now - since >= maxWaitMilliseconds && holder.mayGiveWay();
        [...this.waits].filter(isOverdue).forEach(([holder]) => this.endHolder(holder));
        const least = Math.min(...[...this.waits.values()].map(({ bytes }) => bytes));
        while (this.waits.size > 0 && !this.fits(least)) {
            const largest = this.largest();
            if (largest === undefined) {
                break;
            }
            this.endHolder(largest);
        }
        if (this.waits.size > 0) {
            this.cancelTimer ??= this.clock.after(pauseMilliseconds, () => this.endPause());
        }
    }

    private endHolder(holder: MemoryHolder): void {
        holder.giveWay();
        this.release(holder);
    }

    /** The holder of most among those that can give way; undefined if there is none. */
    private largest(): MemoryHolder | undefined {
        let largest: MemoryHolder | undefined;
        for (const holder of this.holders) {
            if (holder.held > (largest?.held ?? 0) && holder.mayGiveWay()) {
                largest = holder;
            }
        }
        return largest;
    }
}
