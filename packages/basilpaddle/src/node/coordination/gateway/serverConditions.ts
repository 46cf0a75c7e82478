import type { ServerCalls } from "../../protocol/index.js";

/** Milliseconds in which what was told counts half: what a server answered before it fell ill must not hide that for long. */
const halfLife = 700;
/** Milliseconds for which a troubled server gets no work before it is tried again; most such spells last some seconds. */
const restTime = 3_000;
/** Failures, and how much larger their share must be than at the service's other servers, before a server is troubled. */
const leastFailures = 4;
const leastExcess = 0.3;
/** Part of a service's servers that may be called troubled; more would overload the others. */
const mostTroubled = 0.5;
/** Calls below which a server is forgotten. */
const forgotten = 0.05;

type Condition = {
    readonly service: string;
    answered: number;
    failed: number;
    at: number;
    troubledUntil: number;
};

/**
 * Judges backend servers of plain services by what all gateways tell of their calls.
 *
 * The load that it answers: hundreds of gateways before a few servers, one of which hangs, or fails a part of its calls
 * while its health is reported good. Each gateway sends it a request or two before it knows, forgets it, and tries again:
 * of 4,200 calls in 13 s with 191 gateways and five servers 123 were lost at the one that hung.
 */
export class ServerConditions {
    private readonly conditions = new Map<string, Condition>();
    private last: readonly string[] = [];

    static create(): ServerConditions {
        return new ServerConditions();
    }

    /** Takes what a gateway tells. */
    note(calls: readonly ServerCalls[], now: number): void {
        for (const { id, service, answered, failed } of calls) {
            const condition = this.conditions.get(id) ?? { service, answered: 0, failed: 0, at: now, troubledUntil: 0 };
            this.conditions.set(id, condition);
            this.age(condition, now);
            condition.answered += answered;
            condition.failed += failed;
        }
    }

    /** Looks at all servers again; tells whether others are troubled than the last time. */
    review(now: number): boolean {
        const before = this.last;
        this.conditions.forEach((condition, id) => {
            this.age(condition, now);
            if (now > condition.troubledUntil && condition.answered + condition.failed < forgotten) {
                this.conditions.delete(id);
            }
        });
        const services = new Set([...this.conditions.values()].map(({ service }) => service));
        this.last = [...services].flatMap(service => this.ofService(service, now)).sort();
        return before.join() !== this.last.join();
    }

    /** Servers that should get no work, as of the last review. */
    troubled(): readonly string[] {
        return this.last;
    }

    private ofService(service: string, now: number): string[] {
        const servers = [...this.conditions].filter(([, condition]) => condition.service === service);
        const answered = servers.reduce((sum, [, condition]) => sum + condition.answered, 0);
        const failed = servers.reduce((sum, [, condition]) => sum + condition.failed, 0);
        const judged = servers.map(([id, condition]) => {
            const others = shareOf(answered - condition.answered, failed - condition.failed);
            return { id, condition, excess: shareOf(condition.answered, condition.failed) - others };
        });
        for (const { condition, excess } of judged) {
            if (condition.failed >= leastFailures && excess >= leastExcess) {
                condition.troubledUntil = now + restTime;
            }
        }
        const troubled = judged.filter(({ condition }) => now < condition.troubledUntil);
        troubled.sort((one, other) => other.excess - one.excess);
        return troubled.slice(0, Math.floor(servers.length * mostTroubled)).map(({ id }) => id);
    }

    private age(condition: Condition, now: number): void {
        const part = 0.5 ** ((now - condition.at) / halfLife);
        condition.answered *= part;
        condition.failed *= part;
        condition.at = now;
    }
}

function shareOf(answered: number, failed: number): number {
    return failed / Math.max(1, answered + failed);
}
