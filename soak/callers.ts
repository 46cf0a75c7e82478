import * as http from "node:http";
import type { Randomness } from "../packages/basilpaddle/src/node/utils/index.js";
import { callerHeaders, type RouteKind, sealOf } from "../platform/src/standins/wire.js";
import type { SoakDeployment } from "./deployment.js";
import type { CallerEnd, Invariants, SoakRequest } from "./invariants.js";
import type { Member } from "./member.js";
import { plainText, streamText } from "./texts.js";

/** Host that the routes name. */
export const routeHost = "soak.example";
/** Milliseconds that a route gives a request; long enough for an answer, short enough for a run to see it pass. */
export const routeTimeout = 6_000;
/** Paths of the routes that every configuration has. */
export const routePrefixes: Readonly<Record<RouteKind, string>> = {
    safe: "/safe/",
    unsafe: "/unsafe/",
    resumable: "/resumable/",
    once: "/once/",
};
const kinds: readonly RouteKind[] = ["safe", "unsafe", "resumable", "once"];
/** Milliseconds that a caller waits for its whole answer: longer than its deadline, so that a late one is seen. */
const patience = 12_000;
const deadline = 5_000;
/** Part of the callers that leave before their answer, and the milliseconds within which they do. */
const leavingPart = 0.12;
const leavesWithin = 900;
/** Part of the callers that come on a connection of their own; the others share kept ones. */
const freshPart = 0.3;
const keptConnections = 4;
const readinessInterval = 300;

/** Callers of all gateways: each request goes to a gateway that the balancer would choose. */
export class Callers {
    private readonly agents = new Map<string, http.Agent>();
    private readonly open = new Set<Promise<void>>();
    private rotation: readonly Member[] = [];
    private made = 0;
    private timer: NodeJS.Timeout | undefined;
    private look: NodeJS.Timeout | undefined;

    private constructor(
        private readonly deployment: SoakDeployment,
        private readonly invariants: Invariants,
        private readonly random: Randomness,
    ) {}

    static create(deployment: SoakDeployment, invariants: Invariants, random: Randomness): Callers {
        return new Callers(deployment, invariants, random);
    }

    /** Sends so many requests a second from now on. */
    start(perSecond: number): void {
        this.rotation = [...this.deployment.gateways];
        this.look = setInterval(() => void this.chooseGateways(), readinessInterval);
        this.timer = setInterval(() => this.sendOne(), 1_000 / perSecond);
    }

    /** Sends no more, and waits for what is open. */
    async stop(): Promise<void> {
        clearInterval(this.timer);
        clearInterval(this.look);
        await Promise.all(this.open);
        this.agents.forEach(agent => agent.destroy());
    }

    /** Sends one request to one gateway, and waits for its end. */
    async ask(
        gateway: Member,
        kind: RouteKind,
        path = `${routePrefixes[kind]}x`,
        body?: string,
    ): Promise<SoakRequest> {
        this.made += 1;
        const attempt = `a${this.made}`;
        const request = this.invariants.sent(attempt, kind, gateway.name, performance.now());
        const end = await this.exchange(gateway, request, path, undefined, body);
        this.invariants.ended(request, end, performance.now());
        return request;
    }

    private async chooseGateways(): Promise<void> {
        const { gateways } = this.deployment;
        const ready = await Promise.all(gateways.map(gateway => this.deployment.isReady(gateway)));
        const chosen = gateways.filter((_, index) => ready[index]);
        // With none ready, the balancer uses all that are left.
        this.rotation = chosen.length > 0 ? chosen : [...gateways];
    }

    private sendOne(): void {
        const gateway = this.rotation[this.random.integer(0, this.rotation.length - 1)]!;
        const kind = kinds[this.random.integer(0, kinds.length - 1)]!;
        const leaves = this.random.fraction() < leavingPart ? this.random.integer(1, leavesWithin) : undefined;
        this.made += 1;
        const request = this.invariants.sent(`a${this.made}`, kind, gateway.name, performance.now());
        const done = this.exchange(gateway, request, `${routePrefixes[kind]}x`, leaves).then(end => {
            this.invariants.ended(request, end, performance.now());
            this.open.delete(done);
        });
        this.open.add(done);
    }

    private exchange(
        gateway: Member,
        request: SoakRequest,
        path: string,
        leavesAfter: number | undefined,
        body = `body of ${request.attempt}`,
    ): Promise<CallerEnd> {
        const { attempt, kind } = request;
        return new Promise(resolve => {
            const timers: NodeJS.Timeout[] = [];
            const settle = (end: CallerEnd): void => {
                timers.forEach(timer => clearTimeout(timer));
                resolve(end);
            };
            const sent = http.request({
                ...this.deployment.callersOf(gateway),
                path,
                method: kind === "safe" ? "GET" : "POST",
                agent: this.random.fraction() < freshPart ? false : this.agent(gateway),
                headers: { Host: routeHost, ...callerHeaders(attempt, deadline) },
            });
            const leave = (end: CallerEnd): void => {
                settle(end);
                sent.destroy();
            };
            timers.push(setTimeout(() => leave({ kind: "cut", cause: `no end within ${patience} ms` }), patience));
            if (leavesAfter !== undefined) {
                timers.push(setTimeout(() => leave({ kind: "left" }), leavesAfter));
            }
            sent.on("response", response => void wholeAnswer(response, request).then(settle));
            sent.on("error", error => settle({ kind: "cut", cause: error.message }));
            sent.end(kind === "safe" ? undefined : body);
        });
    }

    private agent(gateway: Member): http.Agent {
        let agent = this.agents.get(gateway.name);
        if (agent === undefined) {
            agent = new http.Agent({
                keepAlive: true,
                maxSockets: keptConnections * 10,
                maxFreeSockets: keptConnections,
            });
            this.agents.set(gateway.name, agent);
        }
        return agent;
    }
}

/** Reads an answer to its end and holds it against the request. */
function wholeAnswer(response: http.IncomingMessage, { attempt, kind }: SoakRequest): Promise<CallerEnd> {
    return new Promise(resolve => {
        let body = "";
        response.on("data", chunk => {
            body += String(chunk);
        });
        response.on("error", () => undefined);
        response.on("close", () => {
            const { statusCode: status = 0, complete } = response;
            const expected = kind === "safe" || kind === "unsafe" ? plainText(attempt) : streamText(attempt);
            const sealed = sealOf(response.headers) !== undefined;
            resolve(
                complete
                    ? { kind: "answered", status, sealed, right: body === expected }
                    : { kind: "cut", cause: `the answer broke off after ${body.length} bytes` },
            );
        });
    });
}
