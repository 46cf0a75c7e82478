import { LRUCache } from "lru-cache";
import type { LinkStalls, ServerAnnouncement } from "../../protocol/index.js";
import { LinkQuality, stallRateOf } from "./linkQuality.js";

/** Weight of one call in the moving averages. */
const meanWeight = 0.15;
/** Assumed response time of a server before its first call. */
const initialMeanMilliseconds = 20;
/** Weight of a failure ratio above the service's mean: at 25 percentage points above it a server scores as three times slower. */
const failureWeight = 8;
/** Initial and maximum time for which an unreachable server receives no calls. */
const initialPauseMilliseconds = 500;
const maxPauseMilliseconds = 8_000;
/** Fraction of a service's servers that may be excluded for failures; more would overload the others. */
const maxExcludedFraction = 0.5;
/** Score factor of a server in another failure domain: traffic between domains is charged and takes longer. */
const otherDomainFactor = 1.15;
/** Packets of a call in both directions, and the delay that a lost one causes. */
const packetsPerCall = 4;
const lostPacketDelayMilliseconds = 250;
/** Maximum number of servers to keep statistics for. */
const maxServers = 4_096;

/** How a call to a server ended. */
export type CallOutcome =
    /** Answered without a failure. */
    | "answered"
    /** Answered with a server error, or closed the connection before the answer was complete. */
    | "failed"
    /** Rejected the call without running it. */
    | "rejected"
    /** The connection couldn't be established, or went silent. */
    | "unreachable"
    /** Lost on the way by a fault of this gateway's own links, which says nothing about the server. */
    | "lostOnPath";

class ServerStatistics {
    outstanding = 0;
    meanTime = initialMeanMilliseconds;
    failureMean = 0;
    pausedUntil = 0;
    consecutivePauses = 0;
    rejectedUntil = 0;
    lastEndedAt = 0;
}

/** How long a server that rejected a call counts as full. */
const rejectionMilliseconds = 30;
/** Half-life of a server's statistics while it has no open call; without it one slow period would exclude the server forever. */
const statisticsHalfLifeMilliseconds = 2_000;

/**
 * Selects a server of a service by statistics of this gateway's own calls: open calls, response times, and failures
 * compared with the service's mean. It avoids servers that become slow, that fail some of their calls while their health
 * checks pass, or that have terminated without an announcement yet. It makes no probe calls.
 */
export class ServerChoice {
    private readonly statisticsByServer = new LRUCache<string, ServerStatistics>({ max: maxServers });
    private readonly failuresOfService = new Map<string, number>();

    private constructor(
        private readonly failureDomain: string,
        private readonly links: LinkQuality,
        private readonly ejected: () => readonly string[],
    ) {}

    /** `links`: stall rates of the links to other failure domains. `ejected`: servers that failed too often at all gateways. */
    static create(
        failureDomain: string,
        links: LinkQuality = LinkQuality.create(),
        ejected: () => readonly string[] = () => [],
    ): ServerChoice {
        return new ServerChoice(failureDomain, links, ejected);
    }

    /** The server with the lowest expected response time, except those to avoid; undefined if none is left. */
    choose(
        servers: readonly ServerAnnouncement[],
        avoid: ReadonlySet<string>,
        now: number,
    ): ServerAnnouncement | undefined {
        const candidates = servers.filter(server => !avoid.has(server.id));
        const ejected = this.ejected();
        const isHealthy = (server: ServerAnnouncement): boolean => {
            return now >= this.statisticsOf(server.id).pausedUntil && !ejected.includes(server.id);
        };
        const healthy = candidates.filter(isHealthy);
        const excluded = servers.length - servers.filter(isHealthy).length;
        const usable = healthy.length > 0 && excluded <= servers.length * maxExcludedFraction
            ? healthy
            : candidates;
        const stalls = this.links.stalls(now);
        let best: ServerAnnouncement | undefined;
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

    /** Records the start of a call. */
    recordStart(id: string): void {
        this.statisticsOf(id).outstanding += 1;
    }

    /** Records the outcome and duration of a call. */
    recordOutcome(server: ServerAnnouncement, outcome: CallOutcome, milliseconds: number, now: number): void {
        const statistics = this.statisticsOf(server.id);
        statistics.outstanding = Math.max(0, statistics.outstanding - 1);
        statistics.lastEndedAt = now;
        if (outcome === "lostOnPath") {
            return;
        }
        if (outcome === "rejected") {
            statistics.rejectedUntil = now + rejectionMilliseconds;
            return;
        }
        const failed = outcome === "answered" ? 0 : 1;
        statistics.failureMean += meanWeight * (failed - statistics.failureMean);
        const mean = this.failuresOfService.get(server.service) ?? 0;
        this.failuresOfService.set(server.service, mean + meanWeight / 3 * (failed - mean));
        if (outcome === "unreachable") {
            statistics.pausedUntil = now
                + Math.min(maxPauseMilliseconds, initialPauseMilliseconds * 2 ** statistics.consecutivePauses);
            statistics.consecutivePauses += 1;
            return;
        }
        statistics.meanTime += meanWeight * (milliseconds - statistics.meanTime);
        if (outcome === "answered") {
            statistics.consecutivePauses = 0;
            statistics.pausedUntil = 0;
        }
    }

    /** Number of this gateway's open calls to a server. */
    outstanding(id: string): number {
        return this.statisticsOf(id).outstanding;
    }

    private score(server: ServerAnnouncement, stalls: LinkStalls, now: number): number {
        const statistics = this.statisticsOf(server.id);
        const decay = statistics.outstanding > 0
            ? 1
            : 0.5 ** ((now - statistics.lastEndedAt) / statisticsHalfLifeMilliseconds);
        const linkStallDelay = stallRateOf(stalls, server.failureDomain) * packetsPerCall * lostPacketDelayMilliseconds;
        const time = initialMeanMilliseconds + (statistics.meanTime - initialMeanMilliseconds) * decay + linkStallDelay;
        const excess = Math.max(0, statistics.failureMean * decay - (this.failuresOfService.get(server.service) ?? 0));
        const domainFactor = server.failureDomain === this.failureDomain ? 1 : otherDomainFactor;
        const fullFactor = now < statistics.rejectedUntil ? 2 : 1;
        return (statistics.outstanding + 1) * time * (1 + failureWeight * excess) * domainFactor * fullFactor;
    }

    private statisticsOf(id: string): ServerStatistics {
        let statistics = this.statisticsByServer.get(id);
        if (statistics === undefined) {
            statistics = new ServerStatistics();
            this.statisticsByServer.set(id, statistics);
        }
        return statistics;
    }
}
