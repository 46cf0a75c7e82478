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
/** Decayed call count below which a server's record is deleted. */
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
 * it again some seconds later: with 191 gateways and five servers, 123 of 4,200 calls in 13 s failed at the server that
 * hung.
 */
export class OutlierDetector {
    private readonly records = new Map<string, ServerCallCounts>();
    private currentlyEjected: readonly string[] = [];

    static create(): OutlierDetector {
        return new OutlierDetector();
    }

    /** Adds call counts reported by a gateway. */
    addCalls(calls: readonly ServerCalls[], now: number): void {
        for (const { id, service, answered, failed } of calls) {
            const record = this.records.get(id) ?? { service, answered: 0, failed: 0, updatedAt: now, ejectedUntil: 0 };
            this.records.set(id, record);
            this.decayCounts(record, now);
            record.answered += answered;
            record.failed += failed;
        }
    }

    /** Recomputes the ejected servers; returns whether they differ from those of the previous call. */
    updateEjections(now: number): boolean {
        const previouslyEjected = this.currentlyEjected;
        this.records.forEach((record, id) => {
            this.decayCounts(record, now);
            if (now > record.ejectedUntil && record.answered + record.failed < minRememberedCalls) {
                this.records.delete(id);
            }
        });
        const services = new Set([...this.records.values()].map(({ service }) => service));
        this.currentlyEjected = [...services].flatMap(service => this.ejectedServersOf(service, now)).sort();
        return previouslyEjected.join() !== this.currentlyEjected.join();
    }

    /** Servers that should receive no calls, as of the last call of `updateEjections`. */
    ejected(): readonly string[] {
        return this.currentlyEjected;
    }

    private ejectedServersOf(service: string, now: number): string[] {
        const servers = [...this.records].filter(([, record]) => record.service === service);
        const answered = servers.reduce((sum, [, record]) => sum + record.answered, 0);
        const failed = servers.reduce((sum, [, record]) => sum + record.failed, 0);
        const comparisons = servers.map(([id, record]) => {
            const othersRatio = failureRatio(answered - record.answered, failed - record.failed);
            return { id, record, excess: failureRatio(record.answered, record.failed) - othersRatio };
        });
        for (const { record, excess } of comparisons) {
            if (record.failed >= minFailures && excess >= minExcessFailureRatio) {
                record.ejectedUntil = now + ejectionMilliseconds;
            }
        }
        const ejected = comparisons.filter(({ record }) => now < record.ejectedUntil);
        ejected.sort((one, other) => other.excess - one.excess);
        return ejected.slice(0, Math.floor(servers.length * maxEjectedFraction)).map(({ id }) => id);
    }

    private decayCounts(record: ServerCallCounts, now: number): void {
        const factor = 0.5 ** ((now - record.updatedAt) / countHalfLifeMilliseconds);
        record.answered *= factor;
        record.failed *= factor;
        record.updatedAt = now;
    }
}

function failureRatio(answered: number, failed: number): number {
    return failed / Math.max(1, answered + failed);
}
