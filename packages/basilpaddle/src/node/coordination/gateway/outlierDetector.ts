import type { ServerCalls } from "../../protocol/index.js";

/** Half-life of the call counts: calls answered before a server began to fail must not hide the failures for long. */
const countHalfLifeMilliseconds = 700;
/** How long an ejected server receives no calls before it is tried again; most such outages last some seconds. */
const ejectionMilliseconds = 3_000;
/** Failures, and excess of the failure ratio over that of the service's other servers, before a server is ejected. */
const minimumFailures = 4;
const minimumExcessFailureRatio = 0.3;
/** Fraction of a service's servers that may be ejected; more would overload the others. */
const maximumEjectedFraction = 0.5;
/** Decayed call count below which a server's record is deleted. */
const minimumRememberedCalls = 0.05;

type ServerCallCounts = {
    readonly service: string;
    answered: number;
    failed: number;
    at: number;
    ejectedUntil: number;
};

/**
 * Ejects failing backend servers of plain services, based on the call counts that all gateways report.
 *
 * It is meant for hundreds of gateways in front of a few servers, one of which hangs or fails some of its calls while its
 * health checks pass. On its own, each gateway sends such a server a request or two before it notices, forgets, and tries
 * again: with 191 gateways and five servers, 123 of 4,200 calls in 13 s failed at the server that hung.
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
            const record = this.records.get(id) ?? { service, answered: 0, failed: 0, at: now, ejectedUntil: 0 };
            this.records.set(id, record);
            this.decayCounts(record, now);
            record.answered += answered;
            record.failed += failed;
        }
    }

    /** Recomputes the ejected servers; returns whether they differ from those of the previous call. */
    updateEjections(now: number): boolean {
        const before = this.currentlyEjected;
        this.records.forEach((record, id) => {
            this.decayCounts(record, now);
            if (now > record.ejectedUntil && record.answered + record.failed < minimumRememberedCalls) {
                this.records.delete(id);
            }
        });
        const services = new Set([...this.records.values()].map(({ service }) => service));
        this.currentlyEjected = [...services].flatMap(service => this.ejectedServersOf(service, now)).sort();
        return before.join() !== this.currentlyEjected.join();
    }

    /** Servers that should receive no calls, as of the last review. */
    ejected(): readonly string[] {
        return this.currentlyEjected;
    }

    private ejectedServersOf(service: string, now: number): string[] {
        const servers = [...this.records].filter(([, record]) => record.service === service);
        const answered = servers.reduce((sum, [, record]) => sum + record.answered, 0);
        const failed = servers.reduce((sum, [, record]) => sum + record.failed, 0);
        const judged = servers.map(([id, record]) => {
            const others = failureRatio(answered - record.answered, failed - record.failed);
            return { id, record, excess: failureRatio(record.answered, record.failed) - others };
        });
        for (const { record, excess } of judged) {
            if (record.failed >= minimumFailures && excess >= minimumExcessFailureRatio) {
                record.ejectedUntil = now + ejectionMilliseconds;
            }
        }
        const ejected = judged.filter(({ record }) => now < record.ejectedUntil);
        ejected.sort((one, other) => other.excess - one.excess);
        return ejected.slice(0, Math.floor(servers.length * maximumEjectedFraction)).map(({ id }) => id);
    }

    private decayCounts(record: ServerCallCounts, now: number): void {
        const factor = 0.5 ** ((now - record.at) / countHalfLifeMilliseconds);
        record.answered *= factor;
        record.failed *= factor;
        record.at = now;
    }
}

function failureRatio(answered: number, failed: number): number {
    return failed / Math.max(1, answered + failed);
}
