import type { StreamOrigin } from "../../protocol/index.js";

/** Maximum number of origins that are kept; beyond it those that were recorded first are dropped. */
const maxOrigins = 65_536;
/** Maximum time for which an origin is kept, whatever its reporter asks for. */
const maxKeepMilliseconds = 600_000;

type KeptOrigin = { readonly origin: StreamOrigin; readonly recordedAt: number; readonly keptUntil: number; };

/** What is known of the beginning of a stream: its software version, the binding's number, and milliseconds since it was recorded. */
export type KnownOrigin = { readonly version: string; readonly binding: number; readonly age: number; };

/** The software versions that began streams, as one daemon knows them; kept for as long as callers may resume the streams. */
export class StreamOrigins {
    /** By service and attempt, in the order in which they were recorded. */
    private readonly origins = new Map<string, KeptOrigin>();

    static create(): StreamOrigins {
        return new StreamOrigins();
    }

    /** Records an origin; of several bindings of one stream the last one applies. */
    record(origin: StreamOrigin, now: number): void {
        const key = keyOf(origin.service, origin.attempt);
        const recorded = this.keptAt(key, now)?.origin;
        const known = recorded !== undefined && recorded.binding >= origin.binding ? recorded : origin;
        const keptUntil = now + Math.min(origin.keepFor, maxKeepMilliseconds);
        this.origins.delete(key);
        this.origins.set(key, { origin: known, recordedAt: now, keptUntil });
        this.dropOutdated(now);
    }

    /** Where a stream began; undefined if it isn't known. */
    find(service: string, attempt: string, now: number): KnownOrigin | undefined {
        const known = this.keptAt(keyOf(service, attempt), now);
        return known && { version: known.origin.version, binding: known.origin.binding, age: now - known.recordedAt };
    }

    /** The origins that were recorded last, with the time for which they are still to be kept. */
    latest(count: number, now: number): readonly StreamOrigin[] {
        const kept = [...this.origins.values()].filter(({ keptUntil }) => keptUntil > now);
        return kept.slice(-count).map(({ origin, keptUntil }) => ({ ...origin, keepFor: keptUntil - now }));
    }

    /** Number of origins that are kept. */
    count(): number {
        return this.origins.size;
    }

    private keptAt(key: string, now: number): KeptOrigin | undefined {
        const known = this.origins.get(key);
        return known !== undefined && known.keptUntil > now ? known : undefined;
    }

    private dropOutdated(now: number): void {
        for (const [key, { keptUntil }] of this.origins) {
            if (keptUntil > now && this.origins.size <= maxOrigins) {
                return;
            }
            this.origins.delete(key);
        }
    }
}

function keyOf(service: string, attempt: string): string {
    return JSON.stringify([service, attempt]);
}
