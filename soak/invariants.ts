import type { ReceivedRequest, RouteKind } from "../platform/src/standins/wire.js";
import { busyAllowance, busyOrganisation, isAlwaysAdmitted, type RequestKey } from "./organisations.js";
import { PlannedStops } from "./plannedStops.js";
import { type Arrival, ServerArrivals } from "./serverArrivals.js";
import type { CallerEnd, Resumption, SoakRequest, Violation } from "./soakRequest.js";
import { Standstills } from "./standstills.js";
import { streamViolations } from "./streamViolations.js";
import { isLong } from "./texts.js";

/** Statuses which guarantee that a request has not run and will not run. */
const notRunStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);
/** Time for which a backend server may still work on a request after its caller has disconnected. */
const abandonedWorkMilliseconds = 2_500;
/** Time for which a leaving backend server may still receive new work after a directory acknowledged that it leaves. */
const drainPropagationMilliseconds = 2_000;
/** Time without a fault after which a daemon has heard of all that the others know. */
const contactMilliseconds = 3_000;
/** Faults that don't excuse later work: processes are gone, and those that start have to learn of it before they send. */
const killKinds: ReadonlySet<string> = new Set([
    "killGateway",
    "killDirectory",
    "killDirectories",
    "killAll",
    "crashBackend",
    "deadlyRequests",
    "poisonPrompts",
    "slowBackend",
    "lapseHandles",
    "loseAnswers",
    "resetCallers",
    "resetBackends",
]);
/** Time for which a disturbance may still have effects after its end. */
const aftereffectMilliseconds = 4_000;

/** Time after which no gateway accepts a key that a newer configuration doesn't contain. */
const keyPropagationMilliseconds = 4_000;
const millisecondsInSecond = 1_000;
/** Window in which the allowance of an organisation is checked. */
const allowanceWindowMilliseconds = 8_000;
/** Runs in a window beyond rate and burst: each gateway may add its part and one request while no leader answers. */
const allowanceSlack = 3 * busyAllowance.burst;

/** Crashes that one request, or one part of prompts, may cause, and the time after the last of them until all gateways have quarantined it. */
const maxCrashes = 3;
const quarantinePropagationMilliseconds = 3_000;

/** Time after which a partitioned gateway has to serve its callers, compared with the others, except for so many. */
const partitionNoticeMilliseconds = 1_500;
const minServedAtPartitioned = 0.9;
const partitionSlack = 2;

/** A time span in which an unplanned fault was active, in milliseconds. */
export type Disturbance = { readonly what: string; readonly from: number; to: number; };

/**
 * Checks what callers, backend servers and operators observed against the system's guarantees. Correctness invariants
 * hold under any fault; those that involve a time limit hold only while no unplanned fault is active.
 */
export class Invariants {
    readonly violations: Violation[] = [];
    readonly disturbances: Disturbance[] = [];
    readonly requests = new Map<string, SoakRequest>();
    /** Gateways that were partitioned from all backend servers, and when. */
    private readonly partitions: (Disturbance & { readonly gateway: string; })[] = [];
    /** What arrived at backend servers over all gateways. */
    readonly arrivals = ServerArrivals.create();
    readonly stops = PlannedStops.create();
    readonly standstills = Standstills.create();
    /** Contents sent for each version; there can be two, as two operators may race with the same version. */
    private readonly sentVersions = new Map<number, Set<string>>();
    private readonly drainTimes = new Map<string, number>();
    private readonly orderHolders = new Map<string, string>();
    private readonly crashTimes = new Map<string, number[]>();
    private newestVersion = 0;
    /** When each version was first superseded by an acknowledged newer one. */
    private readonly supersededAt = new Map<number, number>();

    private constructor() {}

    static create(): Invariants {
        return new Invariants();
    }

    violate(invariant: string, what: string): void {
        this.violations.push({ invariant, what });
    }

    /** Records the start of an unplanned fault. Returns a function that records its end. */
    disturb(what: string, now: number): (until: number) => void {
        const disturbance: Disturbance = { what, from: now, to: Number.POSITIVE_INFINITY };
        this.disturbances.push(disturbance);
        return until => {
            disturbance.to = until;
        };
    }

    /** Records that a gateway is partitioned from all backend servers. Returns a function that records the end. */
    partitioned(gateway: string, now: number): (until: number) => void {
        const partition = { gateway, what: "partition", from: now, to: Number.POSITIVE_INFINITY };
        this.partitions.push(partition);
        return until => {
            partition.to = until;
        };
    }

    /** Whether an unplanned fault was active within the time span, or shortly before it. */
    isDisturbed(from: number, to: number): boolean {
        return this.disturbances.some(span => span.from <= to && span.to + aftereffectMilliseconds >= from);
    }

    /** Whether a fault other than a kill was active shortly before a moment. */
    private isDisturbedShortlyBefore(now: number): boolean {
        const others = this.disturbances.filter(({ what }) => !killKinds.has(what));
        return others.some(span => span.from <= now && span.to >= now - contactMilliseconds);
    }

    requestSent(
        attempt: string,
        kind: RouteKind,
        gateway: string,
        now: number,
        key: RequestKey,
        resumes?: Resumption,
    ): SoakRequest {
        const common = { attempt, kind, gateway, key, resumes, sentAt: now };
        const request: SoakRequest = {
            ...common,
            runs: [],
            versions: [],
            wholeAt: undefined,
            end: undefined,
            endedAt: 0,
        };
        this.requests.set(attempt, request);
        this.arrivals.requestSent(kind === "safe" || kind === "unsafe" ? "plain" : "pool", now);
        return request;
    }

    /** Records that a request arrived at a backend server, whether that runs it or not. */
    arrived(arrival: Omit<Arrival, "gateway">): void {
        this.arrivals.arrived({ ...arrival, gateway: this.requests.get(arrival.attempt)?.gateway ?? "" });
    }

    /** Records an answer with which a server named its limit. */
    limitTold(server: string, attempt: string, now: number): void {
        this.arrivals.told(server, this.requests.get(attempt)?.gateway ?? "", now);
    }

    /** Records that a backend server started to run a request. Returns a function that records the end of the run. */
    runStarted(
        received: Pick<ReceivedRequest, "attempt" | "organisation" | "key">,
        server: string,
        now: number,
    ): (endedAt: number) => void {
        const { attempt } = received;
        const request = this.requests.get(attempt);
        if (request === undefined) {
            this.violate("unasked", `${server} ran ${attempt}, which no caller sent`);
            return () => undefined;
        }
        this.checkIdentity(request, received, server);
        const run = { server, begunAt: now, endedAt: undefined as number | undefined };
        request.runs.push(run);
        const drainedAt = this.drainTimes.get(server);
        if (
            drainedAt !== undefined && now > drainedAt + drainPropagationMilliseconds
            && !this.isDisturbedShortlyBefore(drainedAt) && !this.isDisturbedShortlyBefore(now)
        ) {
            this.violate(
                "drain",
                `${server} got ${attempt} ${Math.round(now - drainedAt)} ms after it announced its drain`,
            );
        }
        return endedAt => {
            run.endedAt = endedAt;
        };
    }

    /** Checks that the run names the organisation that holds the key, and that the key may still be in force. */
    private checkIdentity(
        request: SoakRequest,
        { attempt, organisation, key }: Pick<ReceivedRequest, "attempt" | "organisation" | "key">,
        server: string,
    ): void {
        if (organisation !== request.key.organisation || key !== undefined) {
            this.violate(
                "organisation",
                `${server} ran ${attempt} of ${request.key.organisation} as ${organisation}, key ${key}`,
            );
        }
        const { version } = request.key;
        const goneAt = version === undefined ? undefined : this.supersededAt.get(version);
        if (
            goneAt !== undefined && request.sentAt > goneAt + keyPropagationMilliseconds
            && !this.isDisturbed(goneAt, request.sentAt)
        ) {
            this.violate(
                "organisation",
                `${server} ran ${attempt} by ${request.gateway} with a key that was taken away`,
            );
        }
    }

    /** Records that a backend server crashed as it started to run a request with this body, or this part of its prompt. */
    backendCrashed(body: string, server: string, now: number): void {
        const serverCrashes = this.crashTimes.get(body) ?? [];
        this.crashTimes.set(body, serverCrashes);
        serverCrashes.push(now);
        const thirdCrashAt = serverCrashes[maxCrashes - 1];
        if (
            thirdCrashAt !== undefined && now > thirdCrashAt + quarantinePropagationMilliseconds
            && !this.isOtherwiseDisturbed(thirdCrashAt, now)
        ) {
            this.violate(
                "held back",
                `${server} crashed while running "${body}" as number ${serverCrashes.length}, long after the third`,
            );
        }
    }

    private isOtherwiseDisturbed(from: number, to: number): boolean {
        const otherFaults = this.disturbances.filter(({ what }) =>
            what !== "deadlyRequests" && what !== "poisonPrompts"
        );
        return otherFaults.some(span => span.from <= to && span.to + aftereffectMilliseconds >= from);
    }

    requestEnded(request: SoakRequest, end: CallerEnd, now: number): void {
        request.end = end;
        request.endedAt = now;
    }

    /** Records that a directory acknowledged the drain of a backend server. */
    drainAcknowledged(server: string, now: number): void {
        this.drainTimes.set(server, this.drainTimes.get(server) ?? now);
    }

    /** Records that an engine accepted an order with this fencing token. */
    orderAccepted(holder: string, fence: number): void {
        const known = this.orderHolders.get(String(fence));
        if (known !== undefined && known !== holder) {
            this.violate("one holder", `${known} and ${holder} both issued orders with the fencing token ${fence}`);
        }
        this.orderHolders.set(String(fence), holder);
    }

    /** Records that an operator sends a configuration. */
    configurationSent(version: number, content: string): void {
        const contents = this.sentVersions.get(version) ?? new Set();
        this.sentVersions.set(version, contents.add(content));
    }

    configurationAcknowledged(version: number): void {
        for (let older = this.newestVersion; older < version; older++) {
            this.supersededAt.set(older, performance.now());
        }
        this.newestVersion = Math.max(this.newestVersion, version);
    }

    /** The highest configuration version acknowledged so far. */
    newestAcknowledged(): number {
        return this.newestVersion;
    }

    /** Checks a configuration that was read; `asOf` is the highest version acknowledged before the read was sent. */
    configurationRead(version: number, content: string, asOf: number): void {
        if (version < asOf) {
            this.violate("configuration", `version ${version} was read after ${asOf} was acknowledged`);
        }
        if (this.sentVersions.get(version)?.has(content) !== true) {
            this.violate("configuration", `the content read as version ${version} was never sent with that version`);
        }
    }

    /** Checks all requests, after all of them have ended; returns every violation of the run. */
    checkRequests(): readonly Violation[] {
        this.requests.forEach(request => this.checkRequest(request));
        this.checkAllowance();
        this.checkPartitions();
        const isDisturbed = (from: number, to: number): boolean => this.isDisturbed(from, to);
        this.violations.push(...streamViolations([...this.requests.values()], isDisturbed));
        this.violations.push(...this.standstills.violations([...this.requests.values()], request => {
            const { attempt, sentAt, endedAt } = request;
            const others = this.disturbances.filter(({ what }) => what !== "pauseGateway" && what !== "standStill");
            const isDisturbed = others.some(({ from, to }) =>
                from <= endedAt && to + aftereffectMilliseconds >= sentAt
            );
            return isDisturbed || isLong(attempt) && this.stops.mayCut(request);
        }));
        this.arrivals.limitViolations().forEach(what => this.violate("a server's limit", what));
        this.arrivals.retryViolations().forEach(what => this.violate("the retry allowance", what));
        return this.violations;
    }

    /** Checks that partitioned gateways serve their callers nearly as often as the others do. */
    private checkPartitions(): void {
        const counts = { partitioned: { sent: 0, served: 0 }, others: { sent: 0, served: 0 } };
        for (const { attempt, gateway, sentAt, endedAt, end, key } of this.requests.values()) {
            const span = this.partitions.find(({ from, to }) =>
                sentAt > from + partitionNoticeMilliseconds && sentAt < to
            );
            const isOtherwiseDisturbed = this.disturbances.some(({ what, from, to }) => {
                return what !== "partitionGateways" && from <= endedAt && to + aftereffectMilliseconds >= sentAt;
            });
            if (
                span === undefined || isOtherwiseDisturbed || end?.kind === "left" || isLong(attempt)
                || !isAlwaysAdmitted(key)
            ) {
                continue;
            }
            const isPartitioned = this.partitions.some(one => {
                return one.gateway === gateway && one.from < sentAt && one.to > sentAt;
            });
            const count = isPartitioned ? counts.partitioned : counts.others;
            count.sent += 1;
            count.served += end?.kind === "answered" && end.status === 200 ? 1 : 0;
        }
        const { partitioned, others } = counts;
        const minServed = minServedAtPartitioned * partitioned.sent
            * (others.sent === 0 ? 1 : others.served / others.sent);
        if (partitioned.served < minServed - partitionSlack) {
            this.violate(
                "partitioned gateways serve",
                `${partitioned.served} of ${partitioned.sent} at them, ${others.served} of ${others.sent} at the others`,
            );
        }
    }

    /** Checks that no window contains more first runs of the busy organisation than its allowance. */
    private checkAllowance(): void {
        const starts = [...this.requests.values()]
            .filter(({ key, runs }) => key.organisation === busyOrganisation && runs.length > 0)
            .map(({ runs }) => runs[0]!.begunAt)
            .sort((one, other) => one - other);
        const { rate, burst } = busyAllowance;
        const limit = (rate * allowanceWindowMilliseconds / millisecondsInSecond + burst) * 1.1 + allowanceSlack;
        const mostRuns = starts.reduce((most, from) => {
            const runs = starts.filter(at => at >= from && at < from + allowanceWindowMilliseconds).length;
            return Math.max(most, runs);
        }, 0);
        if (mostRuns > limit) {
            this.violate("allowance", `${mostRuns} requests of ${busyOrganisation} ran within a window; ${limit} may`);
        }
    }

    private checkRequest(request: SoakRequest): void {
        const { attempt, kind, runs, end } = request;
        const name = `${kind} ${attempt} by ${request.gateway}`;
        if ((kind === "unsafe" || kind === "once") && runs.length > 1) {
            this.violate("at most once", `${name} ran at ${runs.map(run => run.server).join(" and ")}`);
        }
        if (end === undefined) {
            this.violate("answered", `${name} never ended`);
            return;
        }
        if (end.kind === "answered" && end.sealed && !end.right) {
            this.violate("its own whole answer", `${name} received a body other than its own`);
        }
        if (end.kind === "answered" && !end.sealed && notRunStatuses.has(end.status) && runs.length > 0) {
            this.violate("not run is true", `${name} got ${end.status} although it ran at ${runs[0]!.server}`);
        }
        if (end.kind === "left") {
            this.checkAbandoned(request, name);
        }
        const mayBeCut = isLong(attempt) && this.stops.mayCut(request);
        if (end.kind === "cut" && !mayBeCut && !this.isDisturbed(request.sentAt, request.endedAt)) {
            this.violate("no request is cut off", `${name}: ${end.cause}`);
        }
    }

    private checkAbandoned(request: SoakRequest, name: string): void {
        const limit = request.endedAt + abandonedWorkMilliseconds;
        if (this.isDisturbed(request.sentAt, limit)) {
            return;
        }
        for (const run of request.runs) {
            if (run.endedAt === undefined || run.endedAt > limit) {
                this.violate("nothing is held for who has gone", `${name}: ${run.server} kept working on it`);
            }
        }
    }
}
