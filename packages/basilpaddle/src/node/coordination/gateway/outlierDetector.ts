import type { ServerCalls } from "../../protocol/index.js";

/** Half-life of the call counts: calls answered before a server began to fail must not hide the failures for long. */
const countHalfLifeMilliseconds = 700;
/** How long an ejected server receives no calls before it is tried again; most such outages last some seconds. */
const ejectionMilliseconds = 3_000;
/** Failures, and excess of the failure ratio over that of the service's other servers, before a server is ejected. */
const minFailures = 4;
const minExcessFailureRatio = 0.3;
/** Fraction of a service's servers that may be ejected; more would overload the others. */
const maxEjectedFraction = 0.5;
/** Decayed number of calls below which a server's counts are deleted. */
const minRememberedCalls = 0.05;

type ServerCallCounts = {
    readonly service: string;
    answered: number;
    failed: number;
    updatedAt: number;
    ejectedUntil: number;
};

/**
 * Ejects failing backend servers of plain services, based on the call counts that all gateways report.
 *
 * It is meant for hundreds of gateways in front of a few servers, one of which hangs or fails some of its calls while its
 * health checks pass. By itself, each gateway sends such a server a request or two before it detects the failure, and tries
 * it again some seconds later.
 */
export class OutlierDetector {
    private readonly countsByServer = new Map<string, ServerCallCounts>();
    private currentlyEjected: readonly string[] = [];

    static create(): OutlierDetector {
        return new OutlierDetector();
    }

    /** Adds call counts reported by a gateway. */
    addCalls(calls: readonly ServerCalls[], now: number): void {
        for (const { id, service, answered, failed } of calls) {
            const counts = this.countsByServer.get(id)
                ?? { service, answered: 0, failed: 0, updatedAt: now, ejectedUntil: 0 };
            this.countsByServer.set(id, counts);
            this.decayCounts(counts, now);
            counts.answered += answered;
            counts.failed += failed;
        }
    }

    /** Recomputes the ejected servers; returns whether they differ from those of the previous call. */
    updateEjections(now: number): boolean {
        const previouslyEjected = this.currentlyEjected;
        this.countsByServer.forEach((counts, id) => {
            this.decayCounts(counts, now);
            if (now > counts.ejectedUntil && counts.answered + counts.failed < minRememberedCalls) {
                this.countsByServer.delete(id);
            }
        });
        const services = new Set([...this.countsByServer.values()].map(({ service }) => service));
        this.currentlyEjected = [...services].flatMap(service => this.ejectedServersOf(service, now)).sort();
        return previouslyEjected.join() !== this.currentlyEjected.join();
    }

    /** Servers that should receive no calls, as of the last call of `updateEjections`. */
    ejected(): readonly string[] {
        return this.currentlyEjected;
    }

    private ejectedServersOf(service: string, now: number): string[] {
        const servers = [...this.countsByServer].filter(([, counts]) => counts.service === service);
        const answered = servers.reduce((sum, [, counts]) => sum + counts.answered, 0);
        const failed = servers.reduce((sum, [, counts]) => sum + counts.failed, 0);
        const comparisons = servers.map(([id, counts]) => {
            const othersRatio = failureRatio(answered - counts.answered, failed - counts.failed);
            return { id, counts, excess: failureRatio(counts.answered, counts.failed) - othersRatio };
        });
        for (const { counts, excess } of comparisons) {
            if (counts.failed >= minFailures && excess >= minExcessFailureRatio) {
                counts.ejectedUntil = now + ejectionMilliseconds;
            }
        }
        const ejected = comparisons.filter(({ counts }) => now < counts.ejectedUntil);
        ejected.sort((one, other) => other.excess - one.excess);
        return ejected.slice(0, Math.floor(servers.length * maxEjectedFraction)).map(({ id }) => id);
    }

    private decayCounts(counts: ServerCallCounts, now: number): void {
        const factor = 0.5 ** ((now - counts.updatedAt) / countHalfLifeMilliseconds);
        counts.answered *= factor;
        counts.failed *= factor;
        counts.updatedAt = now;
    }
}

function failureRatio(answered: number, failed: number): number {
    return failed / Math.max(1, answered + failed);
}
