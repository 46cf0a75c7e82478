import { LRUCache } from "lru-cache";
import type { Announced, LinkStalls } from "../../protocol/index.js";
import { LinkQuality, stallRateOf } from "./linkQuality.js";

/** Weight of one call in the running means. */
const step = 0.15;
/** Milliseconds that a call is expected to take before any was seen. */
const usualTime = 20;
/** How much a share of failures above the service's mean counts: at 25 points above it a server looks three times slower. */
const failureWeight = 8;
/** Milliseconds for which a server that couldn't be reached gets no work, at first and at the most. */
const firstPause = 500;
const mostPause = 8_000;
/** Part of a service's servers that may be left out for their failures; more would overload the others. */
const mostPaused = 0.5;
/** Factor by which a server in another failure domain looks worse: a hop between domains is priced and takes longer. */
const otherDomainFactor = 1.15;
/** Packets of a call there and back, and the milliseconds that a lost one costs. */
const callPackets = 4;
const stallTime = 250;
/** Servers remembered. */
const serverLimit = 4_096;

/** How a call to a server ended. */
export type CallOutcome =
    /** Answered well. */
    | "answered"
    /** Answered with a failure of its own, or broke off. */
    | "failed"
    /** Turned the call away without running it. */
    | "rejected"
    /** No connection came about, or it fell silent. */
    | "unreachable";

class ServerRecord {
    outstanding = 0;
    time = usualTime;
    failures = 0;
    pausedUntil = 0;
    pauses = 0;
    rejectedUntil = 0;
    endedAt = 0;
}

/** Milliseconds for which a server that turned a call away looks full. */
const fullTime = 30;
/** Milliseconds without a call in which what was seen of a server counts half; else one slow spell would shut it out for good. */
const memoryHalfLife = 2_000;

/**
 * Chooses among the servers of a service by what this gateway's own calls showed: open calls, times, and failures
 * against the mean of the service. It answers servers that turn slow, that fail a part of their calls while their
 * health is reported good, and that are gone before anyone says so; none of it needs calls of its own.
 */
export class ServerChoice {
    private readonly records = new LRUCache<string, ServerRecord>({ max: serverLimit });
    private readonly failuresOfService = new Map<string, number>();

    private constructor(
        private readonly failureDomain: string,
        private readonly links: LinkQuality,
        private readonly ejected: () => readonly string[],
    ) {}

    /** `links`: how well the links to other failure domains are. `ejected`: servers that failed at other gateways too often. */
    static create(
        failureDomain: string,
        links: LinkQuality = LinkQuality.create(),
        ejected: () => readonly string[] = () => [],
    ): ServerChoice {
        return new ServerChoice(failureDomain, links, ejected);
    }

    /** The server that will likely answer first, none of those to avoid; undefined where none is left. */
    choose(servers: readonly Announced[], avoid: ReadonlySet<string>, now: number): Announced | undefined {
        const candidates = servers.filter(server => !avoid.has(server.id));
        const ejected = this.ejected();
        const isSound = (server: Announced): boolean => {
            return now >= this.record(server.id).pausedUntil && !ejected.includes(server.id);
        };
        const sound = candidates.filter(isSound);
        const paused = servers.length - servers.filter(isSound).length;
        const usable = sound.length > 0 && paused <= servers.length * mostPaused ? sound : candidates;
        const stalls = this.links.stalls(now);
        let best: Announced | undefined;
        let bestScore = Number.POSITIVE_INFINITY;
        for (const server of usable) {
            const score = this.score(server, stalls, now);
            if (score < bestScore) {
                best = server;
                bestScore = score;
            }
        }
        return best;
    }

    /** Notes a call that begins. */
    began(id: string): void {
        this.record(id).outstanding += 1;
    }

    /** Notes how a call ended and how long it took. */
    ended(server: Announced, outcome: CallOutcome, milliseconds: number, now: number): void {
        const record = this.record(server.id);
        record.outstanding = Math.max(0, record.outstanding - 1);
        record.endedAt = now;
        if (outcome === "rejected") {
            record.rejectedUntil = now + fullTime;
            return;
        }
        const failed = outcome === "answered" ? 0 : 1;
        record.failures += step * (failed - record.failures);
        const mean = this.failuresOfService.get(server.service) ?? 0;
        this.failuresOfService.set(server.service, mean + step / 3 * (failed - mean));
        if (outcome === "unreachable") {
            record.pausedUntil = now + Math.min(mostPause, firstPause * 2 ** record.pauses);
            record.pauses += 1;
            return;
        }
        record.time += step * (milliseconds - record.time);
        if (outcome === "answered") {
            record.pauses = 0;
            record.pausedUntil = 0;
        }
    }

    /** Open calls of this gateway to a server. */
    outstanding(id: string): number {
        return this.record(id).outstanding;
    }

    private score(server: Announced, stalls: LinkStalls, now: number): number {
        const record = this.record(server.id);
        const memory = record.outstanding > 0 ? 1 : 0.5 ** ((now - record.endedAt) / memoryHalfLife);
        const stall = stallRateOf(stalls, server.failureDomain) * callPackets * stallTime;
        const time = usualTime + (record.time - usualTime) * memory + stall;
        const excess = Math.max(0, record.failures * memory - (this.failuresOfService.get(server.service) ?? 0));
        const distance = server.failureDomain === this.failureDomain ? 1 : otherDomainFactor;
        const full = now < record.rejectedUntil ? 2 : 1;
        return (record.outstanding + 1) * time * (1 + failureWeight * excess) * distance * full;
    }

    private record(id: string): ServerRecord {
        let record = this.records.get(id);
        if (record === undefined) {
            record = new ServerRecord();
            this.records.set(id, record);
        }
        return record;
    }
}
