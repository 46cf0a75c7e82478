import type { RouteKind } from "../platform/src/standins/wire.js";

/** Statuses that promise that a request has not run and never will. */
const notRunStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);
/** Milliseconds after its caller has gone in which a backend server may still work on a request. */
const goneLimit = 2_500;
/** Milliseconds after the acknowledgement that a backend server leaves in which new work may still come. */
const drainLimit = 4_000;
/** Milliseconds before something in which a disturbance may still be felt. */
const aftermath = 4_000;

/** Backend servers that may end under one request, and milliseconds after the last of them in which all gateways know it. */
const mostEnded = 3;
const contactTime = 3_000;

/** How a request ended, as its caller saw it. */
export type CallerEnd =
    /** An answer with its whole body. */
    | { readonly kind: "answered"; readonly status: number; readonly sealed: boolean; readonly right: boolean; }
    /** An answer that broke off, or none at all. */
    | { readonly kind: "cut"; readonly cause: string; }
    | { readonly kind: "left"; };

/** One request of a caller and all that was seen of it. */
export type SoakRequest = {
    readonly attempt: string;
    readonly kind: RouteKind;
    readonly gateway: string;
    readonly sentAt: number;
    /** When each run of it began, and at which backend server. */
    readonly runs: { readonly server: string; readonly begunAt: number; endedAt: number | undefined; }[];
    end: CallerEnd | undefined;
    endedAt: number;
};

/** A span in which something unplanned was wrong. */
export type Disturbance = { readonly what: string; readonly from: number; to: number; };

/** An invariant that was broken. */
export type Violation = { readonly invariant: string; readonly what: string; };

/**
 * Holds what callers, backend servers and operators saw against what is promised. Invariants about correctness hold
 * whatever goes wrong; those with a time in them only where nothing unplanned did.
 */
export class Invariants {
    readonly violations: Violation[] = [];
    readonly disturbances: Disturbance[] = [];
    readonly requests = new Map<string, SoakRequest>();
    /** Content of each version that was ever sent; two operators may race with one version. */
    private readonly sentVersions = new Map<number, Set<string>>();
    private readonly draining = new Map<string, number>();
    private readonly holders = new Map<string, string>();
    private readonly ends = new Map<string, number[]>();
    private acknowledged = 0;

    private constructor() {}

    static create(): Invariants {
        return new Invariants();
    }

    violate(invariant: string, what: string): void {
        this.violations.push({ invariant, what });
    }

    /** Notes that something unplanned is wrong from now on. Gives what ends it. */
    disturb(what: string, now: number): (until: number) => void {
        const disturbance: Disturbance = { what, from: now, to: Number.POSITIVE_INFINITY };
        this.disturbances.push(disturbance);
        return until => {
            disturbance.to = until;
        };
    }

    /** Whether something unplanned was wrong within the span, or a little before it. */
    isDisturbed(from: number, to: number): boolean {
        return this.disturbances.some(span => span.from <= to && span.to + aftermath >= from);
    }

    sent(attempt: string, kind: RouteKind, gateway: string, now: number): SoakRequest {
        const request: SoakRequest = { attempt, kind, gateway, sentAt: now, runs: [], end: undefined, endedAt: 0 };
        this.requests.set(attempt, request);
        return request;
    }

    /** A backend server begins to work on a request. Gives what notes that it ended there. */
    ran(attempt: string, server: string, now: number): (endedAt: number) => void {
        const request = this.requests.get(attempt);
        if (request === undefined) {
            this.violate("unasked", `${server} ran ${attempt}, which no caller sent`);
            return () => undefined;
        }
        const run = { server, begunAt: now, endedAt: undefined as number | undefined };
        request.runs.push(run);
        const drainedAt = this.draining.get(server);
        if (drainedAt !== undefined && now > drainedAt + drainLimit && !this.isDisturbed(drainedAt, now)) {
            this.violate("drain", `${server} got ${attempt} ${Math.round(now - drainedAt)} ms after it said it leaves`);
        }
        return endedAt => {
            run.endedAt = endedAt;
        };
    }

    /** A backend server ended as it began to run a body. */
    endedUnder(body: string, server: string, now: number): void {
        const ends = this.ends.get(body) ?? [];
        this.ends.set(body, ends);
        ends.push(now);
        const third = ends[mostEnded - 1];
        if (third !== undefined && now > third + contactTime && !this.othersDisturb(third, now)) {
            this.violate("held back", `${server} ended under "${body}" as number ${ends.length}, long after the third`);
        }
    }

    private othersDisturb(from: number, to: number): boolean {
        const others = this.disturbances.filter(({ what }) => what !== "deadlyRequests");
        return others.some(span => span.from <= to && span.to + aftermath >= from);
    }

    ended(request: SoakRequest, end: CallerEnd, now: number): void {
        request.end = end;
        request.endedAt = now;
    }

    /** A directory acknowledged that the backend server leaves. */
    leaves(server: string, now: number): void {
        this.draining.set(server, this.draining.get(server) ?? now);
    }

    /** An engine accepted an order. */
    ordered(holder: string, fence: number): void {
        const known = this.holders.get(String(fence));
        if (known !== undefined && known !== holder) {
            this.violate("one holder", `${known} and ${holder} both gave orders under the fencing token ${fence}`);
        }
        this.holders.set(String(fence), holder);
    }

    /** An operator sends a configuration. */
    offered(version: number, content: string): void {
        const contents = this.sentVersions.get(version) ?? new Set();
        this.sentVersions.set(version, contents.add(content));
    }

    accepted(version: number): void {
        this.acknowledged = Math.max(this.acknowledged, version);
    }

    /** The highest version that was acknowledged so far. */
    newest(): number {
        return this.acknowledged;
    }

    /** A configuration was read; `asOf`: the highest version acknowledged before the question was sent. */
    read(version: number, content: string, asOf: number): void {
        if (version < asOf) {
            this.violate("configuration", `version ${version} was read after ${asOf} was acknowledged`);
        }
        if (this.sentVersions.get(version)?.has(content) !== true) {
            this.violate("configuration", `what was read as version ${version} was never sent under it`);
        }
    }

    /** Looks at all requests once everything has come to rest. */
    judge(): readonly Violation[] {
        this.requests.forEach(request => this.judgeRequest(request));
        return this.violations;
    }

    private judgeRequest(request: SoakRequest): void {
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
            this.violate("its own whole answer", `${name} got another body than its own`);
        }
        if (end.kind === "answered" && !end.sealed && notRunStatuses.has(end.status) && runs.length > 0) {
            this.violate("not run is true", `${name} got ${end.status} and ran at ${runs[0]!.server}`);
        }
        if (end.kind === "left") {
            this.judgeGone(request, name);
        }
        if (end.kind === "cut" && !this.isDisturbed(request.sentAt, request.endedAt)) {
            this.violate("no request is cut off", `${name}: ${end.cause}`);
        }
    }

    private judgeGone(request: SoakRequest, name: string): void {
        const limit = request.endedAt + goneLimit;
        if (this.isDisturbed(request.sentAt, limit)) {
            return;
        }
        for (const run of request.runs) {
            if (run.endedAt === undefined || run.endedAt > limit) {
                this.violate("nothing is held for who has gone", `${name}: ${run.server} went on with it`);
            }
        }
    }
}
