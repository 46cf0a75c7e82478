/** The retry allowance that daemons are configured with: retries per request, and in addition to them in each window. */
export const retryRules = { ratio: 0.2, windowMilliseconds: 10_000, slack: 50 } as const;
/** What a server that names a limit may receive in a window: one and a half times the limit, and a few requests. */
const limitWindowMilliseconds = 4_000;
const limitFactor = 1.5;
const limitSlack = 5;
/** Time after the first answer with a limit from which it must be kept. */
const limitGraceMilliseconds = 3_000;
/** Time after a gateway's first answer with the limit from which its requests count. */
const toldMilliseconds = 500;
const millisecondsInSecond = 1_000;

/** One request that arrived at a backend server, times in milliseconds. */
export type Arrival = {
    readonly attempt: string;
    readonly gateway: string;
    readonly server: string;
    readonly service: string;
    readonly at: number;
    /** Whether it is a prefill that the server accepted: the first one of an attempt isn't a retry. */
    readonly isAcceptedPrefill: boolean;
};

type NamedLimit = {
    readonly server: string;
    readonly perSecond: number;
    readonly from: number;
    to: number;
    /** When each gateway was first told, until it was started again. */
    readonly told: { readonly gateway: string; readonly at: number; until: number; }[];
};

/** Counts what arrives at backend servers over all gateways, against the limits that hold for their sum. */
export class ServerArrivals {
    private readonly arrivals: Arrival[] = [];
    private readonly limits: NamedLimit[] = [];
    private readonly requestTimes = new Map<string, number[]>();

    static create(): ServerArrivals {
        return new ServerArrivals();
    }

    /** Records a request that a caller sent for a service. */
    requestSent(service: string, at: number): void {
        this.requestTimes.set(service, [...this.requestTimes.get(service) ?? [], at]);
    }

    arrived(arrival: Arrival): void {
        this.arrivals.push(arrival);
    }

    /** Records that a server begins to name a limit; returns a function that records the end. */
    limitNamed(server: string, perSecond: number, from: number): (to: number) => void {
        const limit = { server, perSecond, from, to: Number.POSITIVE_INFINITY, told: [] };
        this.limits.push(limit);
        return to => {
            limit.to = to;
        };
    }

    /** Records an answer that named the limit to a gateway. */
    told(server: string, gateway: string, at: number): void {
        const limit = this.limits.find(named => named.server === server && named.from <= at && at <= named.to);
        if (limit !== undefined && !limit.told.some(one => one.gateway === gateway && one.until > at)) {
            limit.told.push({ gateway, at, until: Number.POSITIVE_INFINITY });
        }
    }

    /** Records that a gateway was started: it knows of no limit. */
    gatewayStarted(gateway: string, at: number): void {
        for (const { told } of this.limits) {
            told.filter(one => one.gateway === gateway && one.until > at).forEach(one => (one.until = at));
        }
    }

    /** Windows in which a server received more than its limit allows from the gateways that it had told. */
    limitViolations(): string[] {
        return this.limits.flatMap(limit => {
            const counted = this.arrivals.filter(arrival => isCounted(limit, arrival)).map(({ at }) => at);
            const allowed = limitFactor * limit.perSecond * limitWindowMilliseconds / millisecondsInSecond + limitSlack;
            const most = mostInWindow(counted, limitWindowMilliseconds);
            return most > allowed ? [`${limit.server} got ${most} requests in a window, allowed ${allowed}`] : [];
        });
    }

    /** Windows in which a service received more retries than its allowance. */
    retryViolations(): string[] {
        const services = [...new Set(this.arrivals.map(({ service }) => service))];
        return services.flatMap(service => {
            const retries = retryTimes(this.arrivals.filter(arrival => arrival.service === service));
            const worst = retries.map(start => this.retriesBeyondAllowance(service, retries, start)).find(text => text);
            return worst === undefined ? [] : [worst];
        });
    }

    private retriesBeyondAllowance(service: string, retries: readonly number[], start: number): string | undefined {
        const { ratio, windowMilliseconds, slack } = retryRules;
        const requestTimes = this.requestTimes.get(service) ?? [];
        const requests = Math.max(...[0, 0.5, 1].map(back => {
            return countInWindow(requestTimes, start - back * windowMilliseconds, windowMilliseconds);
        }));
        const count = countInWindow(retries, start, windowMilliseconds);
        const allowed = ratio * requests + slack;
        return count > allowed ? `${service} got ${count} retries in a window, allowed ${allowed}` : undefined;
    }
}

function isCounted({ server, from, to, told }: NamedLimit, arrival: Arrival): boolean {
    const isTold = told.some(({ gateway, at, until }) => {
        return gateway === arrival.gateway && at + toldMilliseconds <= arrival.at && arrival.at <= until;
    });
    return arrival.server === server && arrival.at >= from + limitGraceMilliseconds && arrival.at <= to && isTold;
}

/** Times of all arrivals but each attempt's first, and its first accepted prefill. */
function retryTimes(arrivals: readonly Arrival[]): number[] {
    const hasArrived = new Set<string>();
    const hasPrefilled = new Set<string>();
    return arrivals.flatMap(({ attempt, at, isAcceptedPrefill }) => {
        if (isAcceptedPrefill && !hasPrefilled.has(attempt)) {
            hasPrefilled.add(attempt);
            return [];
        }
        const isFirst = !hasArrived.has(attempt);
        hasArrived.add(attempt);
        return isFirst ? [] : [at];
    });
}

function mostInWindow(times: readonly number[], length: number): number {
    return Math.max(0, ...times.map(start => countInWindow(times, start, length)));
}

function countInWindow(times: readonly number[], start: number, length: number): number {
    return times.filter(at => at >= start && at < start + length).length;
}
