import * as http from "node:http";
import type { Randomness } from "../packages/basilpaddle/src/node/utils/index.js";
import { answerSeal, callerHeaders, resumptionHeaders, type RouteKind } from "../platform/src/standins/wire.js";
import { pause } from "../playground/harness/index.js";
import type { SoakDeployment } from "./deployment.js";
import type { Invariants } from "./invariants.js";
import { KeptCallers, type KeptRequest } from "./keptCallers.js";
import type { Member } from "./member.js";
import { freeKey, keyOfRequest } from "./organisations.js";
import type { CallerEnd, SoakRequest } from "./soakRequest.js";
import { eventCount, eventVersions, isRestOfStream, plainText, promptParts } from "./texts.js";
import { deadlineMilliseconds, routeTimeoutMilliseconds } from "./timeLimits.js";

/** Host that all routes match. */
export const routeHost = "soak.example";
/** Path prefixes of the routes that every configuration contains. */
export const routePrefixes: Readonly<Record<RouteKind, string>> = {
    safe: "/safe/",
    unsafe: "/unsafe/",
    resumable: "/resumable/",
    once: "/once/",
};
const routeKinds: readonly RouteKind[] = ["safe", "unsafe", "resumable", "once"];
/** Time that a caller waits for the complete response: longer than its deadline, so that late responses are observed. */
const answerTimeoutMilliseconds = 12_000;
/** Share of the callers that may disconnect before the response, and the longest time after which they do. */
const abandonProbability = 0.12;
const maxAbandonMilliseconds = 900;
/** Share of the streams that their callers break off after any of their events, to resume them at once or after a pause. */
const breakOffProbability = 0.4;
const resumePauses = [5, 5, 300, 2_500];
/** Number of times that a caller resumes its stream, whoever broke it off. */
const maxResumptions = 2;
/** Share of the requests that open a new connection; the others use kept-alive connections. */
const newConnectionProbability = 0.3;
const maxIdleConnections = 4;
const readinessIntervalMilliseconds = 300;

/** Callers of all gateways: each request goes to a gateway that a load balancer would choose. */
export class Callers {
    private readonly agents = new Map<string, http.Agent>();
    private readonly openRequests = new Set<Promise<void>>();
    private rotation: readonly Member[] = [];
    private createdRequests = 0;
    private sendTimer: NodeJS.Timeout | undefined;
    private readinessTimer: NodeJS.Timeout | undefined;
    private readonly kept: KeptCallers;

    private constructor(
        private readonly deployment: SoakDeployment,
        private readonly invariants: Invariants,
        private readonly random: Randomness,
        /** Decides which streams are broken off, so that everything else is drawn as without. */
        private readonly breakRandom: Randomness,
        private readonly resumesStreams: boolean,
        keptRandom: Randomness,
    ) {
        this.kept = KeptCallers.create(request => this.sendKept(request), () => this.rotation, keptRandom);
    }

    /** `resumesStreams`: whether callers break streams off and resume them at other gateways. */
    static create(
        deployment: SoakDeployment,
        invariants: Invariants,
        random: Randomness,
        breakRandom: Randomness,
        resumesStreams: boolean,
        keptRandom: Randomness,
    ): Callers {
        return new Callers(deployment, invariants, random, breakRandom, resumesStreams, keptRandom);
    }

    /** Starts to send requests at a fixed rate; beside them, as many callers keep their connection as `kept` says. */
    start(perSecond: number, kept: number): void {
        this.rotation = [...this.deployment.gateways];
        this.readinessTimer = setInterval(() => void this.chooseGateways(), readinessIntervalMilliseconds);
        this.sendTimer = setInterval(() => this.sendRandomRequest(), 1_000 / perSecond);
        this.kept.start(kept);
    }

    /** Stops sending and waits for the open requests. */
    async stop(): Promise<void> {
        clearInterval(this.sendTimer);
        clearInterval(this.readinessTimer);
        await Promise.all([...this.openRequests, this.kept.stop()]);
        this.agents.forEach(agent => agent.destroy());
    }

    /** Sends one request to one gateway, and waits for its outcome. */
    async sendRequest(
        gateway: Member,
        kind: RouteKind,
        path = `${routePrefixes[kind]}x`,
        body?: string,
        poisonPart?: string,
    ): Promise<SoakRequest> {
        this.createdRequests += 1;
        const attempt = `a${this.createdRequests}`;
        const request = this.invariants.requestSent(attempt, kind, gateway.name, performance.now(), freeKey);
        const parts = promptParts(attempt, poisonPart);
        const end = await this.exchange(gateway, request, path, undefined, body, undefined, parts);
        this.invariants.requestEnded(request, end, performance.now());
        return request;
    }

    private async chooseGateways(): Promise<void> {
        const { gateways } = this.deployment;
        const ready = await Promise.all(gateways.map(gateway => this.deployment.isReady(gateway)));
        const readyGateways = gateways.filter((_, index) => ready[index]);
        // Like a load balancer without a ready target, falls back to all gateways.
        this.rotation = readyGateways.length > 0 ? readyGateways : [...gateways];
    }

    private sendRandomRequest(): void {
        const gateway = this.rotation[this.random.integer(0, this.rotation.length - 1)]!;
        const kind = routeKinds[this.random.integer(0, routeKinds.length - 1)]!;
        const abandonAfter = this.random.fraction() < abandonProbability
            ? this.random.integer(1, maxAbandonMilliseconds)
            : undefined;
        this.createdRequests += 1;
        const key = keyOfRequest(this.createdRequests, this.invariants.newestAcknowledged());
        const now = performance.now();
        const request = this.invariants.requestSent(`a${this.createdRequests}`, kind, gateway.name, now, key);
        const breakAfter = this.drawBreak(request);
        const done = this.exchange(gateway, request, `${routePrefixes[kind]}x`, abandonAfter, undefined, breakAfter)
            .then(async end => {
                this.invariants.requestEnded(request, end, performance.now());
                await this.resume(request, breakAfter !== undefined, maxResumptions);
                this.openRequests.delete(done);
            });
        this.openRequests.add(done);
    }

    /** Number of events after which a caller breaks its stream off; undefined if it doesn't. */
    private drawBreak({ kind, attempt }: SoakRequest): number | undefined {
        const isBroken = this.resumesStreams && kind === "resumable"
            && this.breakRandom.fraction() < breakOffProbability;
        return isBroken ? this.breakRandom.integer(1, eventCount(attempt)) : undefined;
    }

    /** Resumes a stream of which a part was received, at another gateway, if its caller broke it off or its connection was lost. */
    private async resume(request: SoakRequest, hasBrokenOff: boolean, resumptionsLeft: number): Promise<void> {
        const { kind, end, versions, resumes, key, attempt } = request;
        const firstAttempt = resumes?.firstAttempt ?? attempt;
        const lastEvent = (resumes?.lastEvent ?? 0) + versions.length;
        const wasBroken = end?.kind === "cut" || (end?.kind === "left" && hasBrokenOff);
        const wasRefused = resumes !== undefined && end?.kind === "answered" && end.status === 503;
        const isOver = !wasBroken && !wasRefused || lastEvent === 0;
        if (!this.resumesStreams || kind !== "resumable" || isOver || resumptionsLeft === 0) {
            return;
        }
        await pause(resumePauses[this.breakRandom.integer(0, resumePauses.length - 1)]!);
        const others = this.rotation.filter(({ name }) => name !== request.gateway);
        const candidates = others.length > 0 ? others : this.rotation;
        const gateway = candidates[this.breakRandom.integer(0, candidates.length - 1)]!;
        this.createdRequests += 1;
        const resumption = { firstAttempt, lastEvent };
        const next = this.invariants.requestSent(
            `a${this.createdRequests}`,
            kind,
            gateway.name,
            performance.now(),
            key,
            resumption,
        );
        const nextEnd = await this.exchange(gateway, next, `${routePrefixes[kind]}x`, undefined);
        this.invariants.requestEnded(next, nextEnd, performance.now());
        await this.resume(next, false, resumptionsLeft - 1);
    }

    private exchange(
        gateway: Member,
        request: SoakRequest,
        path: string,
        abandonAfterMilliseconds: number | undefined,
        body = `body of ${request.resumes?.firstAttempt ?? request.attempt}`,
        breakAfterEvents = Number.POSITIVE_INFINITY,
        parts = promptParts(request.resumes?.firstAttempt ?? request.attempt),
        kept?: KeptRequest,
    ): Promise<CallerEnd> {
        const { attempt, kind, resumes } = request;
        return new Promise(resolve => {
            const timers: NodeJS.Timeout[] = [];
            const settle = (end: CallerEnd): void => {
                timers.forEach(timer => clearTimeout(timer));
                resolve(end);
            };
            const clientRequest = http.request({
                ...this.deployment.callerAddressOf(gateway),
                path,
                method: kind === "safe" ? "GET" : "POST",
                agent: kept?.connection ?? this.drawAgent(gateway),
                headers: {
                    Host: routeHost,
                    ...callerHeaders(
                        attempt,
                        kept === undefined ? deadlineMilliseconds : routeTimeoutMilliseconds,
                        request.key.key,
                        parts,
                    ),
                    ...resumes === undefined ? {} : resumptionHeaders(resumes.firstAttempt, resumes.lastEvent),
                },
            });
            const disconnect = (end: CallerEnd): void => {
                settle(end);
                clientRequest.destroy();
            };
            timers.push(
                setTimeout(
                    () =>
                        disconnect({
                            kind: "cut",
                            cause: `no complete response within ${answerTimeoutMilliseconds} ms`,
                        }),
                    answerTimeoutMilliseconds,
                ),
            );
            if (abandonAfterMilliseconds !== undefined) {
                timers.push(setTimeout(() => disconnect({ kind: "left" }), abandonAfterMilliseconds));
            }
            const onEvents = (count: number): void => {
                if (count >= breakAfterEvents) {
                    disconnect({ kind: "left" });
                }
            };
            clientRequest.on("response", response => void readAnswer(response, request, onEvents).then(settle));
            clientRequest.on("error", error => settle({ kind: "cut", cause: error.message }));
            if (kept === undefined) {
                clientRequest.end(kind === "safe" ? undefined : body);
                return;
            }
            clientRequest.once("socket", kept.onSocket);
            void sendSlowly(clientRequest, kind === "safe" ? "" : body, kept.bodyMilliseconds).then(() => {
                request.wholeAt = performance.now();
            });
        });
    }

    private async sendKept(kept: KeptRequest): Promise<CallerEnd> {
        const { gateway, kind, attempt } = kept;
        const request = this.invariants.requestSent(attempt, kind, gateway.name, performance.now(), freeKey);
        const path = `${routePrefixes[kind]}x`;
        const end = await this.exchange(gateway, request, path, undefined, undefined, undefined, undefined, kept);
        this.invariants.requestEnded(request, end, performance.now());
        return end;
    }

    private drawAgent(gateway: Member): http.Agent | false {
        return this.random.fraction() < newConnectionProbability ? false : this.agent(gateway);
    }

    private agent(gateway: Member): http.Agent {
        let agent = this.agents.get(gateway.name);
        if (agent === undefined) {
            agent = new http.Agent({
                keepAlive: true,
                maxSockets: maxIdleConnections * 10,
                maxFreeSockets: maxIdleConnections,
            });
            this.agents.set(gateway.name, agent);
        }
        return agent;
    }
}

/** Sends a body in two halves, the second after as many milliseconds unless the request has ended. */
async function sendSlowly(request: http.ClientRequest, body: string, milliseconds: number): Promise<void> {
    const half = Math.floor(body.length / 2);
    if (half > 0 && milliseconds > 0) {
        request.write(body.slice(0, half));
        await pause(milliseconds);
        body = body.slice(half);
    }
    await new Promise<void>(resolve => request.end(body, resolve));
}

/** Reads a response to its end and compares its body with the one expected for the request. */
function readAnswer(
    response: http.IncomingMessage,
    request: SoakRequest,
    onEvents: (count: number) => void,
): Promise<CallerEnd> {
    const { attempt, kind, resumes } = request;
    return new Promise(resolve => {
        let body = "";
        response.on("data", chunk => {
            body += String(chunk);
            request.versions = eventVersions(body);
            onEvents(request.versions.length);
        });
        response.on("error", () => undefined);
        response.on("close", () => {
            const { statusCode: status = 0, complete } = response;
            const isRight = kind === "safe" || kind === "unsafe"
                ? body === plainText(attempt)
                : isRestOfStream(body, resumes?.firstAttempt ?? attempt, resumes?.lastEvent ?? 0);
            const sealed = answerSeal(response.headers) !== undefined;
            resolve(
                complete
                    ? { kind: "answered", status, sealed, right: isRight }
                    : { kind: "cut", cause: `the response was cut off after ${body.length} bytes`, status },
            );
        });
    });
}
