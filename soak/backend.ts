import * as http from "node:http";
import type { AddressInfo } from "node:net";
import {
    announcementCall,
    answerHeaders,
    leaveCall,
    notRunHeaders,
    prefillAnswer,
    receivedOrder,
    type ReceivedRequest,
    receivedRequest,
    releasedHandle,
    setLimit,
} from "../platform/src/standins/wire.js";
import { Relay } from "../playground/harness/relay.js";
import { omitLength, writeAndReset } from "../playground/harness/unframed.js";
import type { Departure } from "./departure.js";
import type { Invariants } from "./invariants.js";
import { eventCount, eventText, isLong, isPoison, isPoisonPart, longAnswerMilliseconds, plainText } from "./texts.js";

/** Simulated processing times: prefill of a prompt, a plain request, and the interval between two streamed events. */
const prefillMilliseconds = 30;
const plainAnswerMilliseconds = 15;
const eventIntervalMilliseconds = 40;
/** Milliseconds for which the KV cache of a prompt is kept. */
export const handleLifetimeMilliseconds = 500;
const heartbeatIntervalMilliseconds = 600;
/** Time for a directory to acknowledge a heartbeat before the next directory is tried. */
const heartbeatTimeoutMilliseconds = 1_000;
/**
 * Time for which a backend server keeps serving after a directory acknowledged that it is draining. It is well above the
 * limit after which new work is a violation; otherwise a gateway that keeps sending work would go undetected.
 */
const drainMilliseconds = 7_000;
const stageSwitchMilliseconds = 1_000;
const plainSlots = 12;

/** Options of a simulated backend server. */
export type BackendOptions = {
    readonly id: string;
    readonly service: "plain" | "pool";
    readonly stage: "prefill" | "decode" | undefined;
    /** Version of its software. */
    readonly version: string;
    readonly failureDomain: string;
    readonly host: string;
    /** Addresses at which directories accept heartbeats, in the order in which they are tried. */
    readonly directories: () => readonly string[];
    readonly invariants: Invariants;
    /** The prompts' KV caches that are kept, by handle; shared by all engines, which fetch caches from each other. */
    readonly caches: Map<string, KeptCache>;
    /** Called when it starts to run a poison request, or one with a poison part, which must crash it. */
    readonly onPoisonRequest: (backend: Backend) => void;
};

/** A prompt's KV cache: the attempt that it belongs to, and the software version of the engine that made it. */
export type KeptCache = { readonly attempt: string; readonly version: string; };

type ServerCall = { readonly path: string; readonly body: string; };

/** A simulated backend server behind a relay: an engine of the pool or a plain server. It records each run of a request. */
export class Backend {
    /** Factor by which processing times are multiplied. */
    slowdownFactor = 1;
    /** Whether KV cache handles expire as soon as they are issued. */
    expiresHandles = false;
    /** Whether it turns down the requests of gateways to go on with a stream that another engine began. */
    refusesToGoOn = false;
    /** Whether it answers without a length and resets the connection in the middle of the answer, right after its last bytes. */
    dropsResponses = false;
    /** Requests per second that it takes from all gateways together, and names in its answers; undefined for no limit. */
    limit: number | undefined;
    /** Pending delays and their resolve functions; all are resolved early when this backend server crashes. */
    private readonly pendingDelays = new Map<NodeJS.Timeout, () => void>();
    private stage: "prefill" | "decode" | undefined;
    private state: "ready" | "draining" = "ready";
    private sequence = 0;
    private sendsHeartbeats = true;
    private readonly startedAt = Date.now();
    private running = 0;
    private hasCrashed = false;
    private lastFence = 0;
    private createdHandles = 0;

    private constructor(
        private readonly options: BackendOptions,
        private readonly server: http.Server,
        readonly relay: Relay,
    ) {
        this.stage = options.stage;
        server.on("request", (request, response) => void this.receive(request, response));
    }

    /** Starts a backend server, which begins to send heartbeats. */
    static async create(options: BackendOptions): Promise<Backend> {
        const server = http.createServer({ keepAliveTimeout: 20_000 });
        await new Promise<void>(resolve => server.listen(0, options.host, resolve));
        const relay = await Relay.create(options.host);
        const { port } = server.address() as AddressInfo;
        const backend = new Backend(options, server, relay);
        relay.setTarget({ host: options.host, port });
        void backend.sendHeartbeats();
        return backend;
    }

    get id(): string {
        return this.options.id;
    }

    get service(): "plain" | "pool" {
        return this.options.service;
    }

    get version(): string {
        return this.options.version;
    }

    /** The stage before any order to change it. */
    get initialStage(): "prefill" | "decode" | undefined {
        return this.options.stage;
    }

    isDraining(): boolean {
        return this.state === "draining";
    }

    /** Says that it leaves, keeps serving for `drainMilliseconds`, and says again that it has left. */
    async leave({ kind, directory, lateHeartbeat }: Departure): Promise<void> {
        const earlierHeartbeat = this.nextHeartbeat();
        this.state = "draining";
        this.sendsHeartbeats = kind === "draining";
        if (lateHeartbeat !== undefined) {
            void this.delay(lateHeartbeat).then(() => this.postToDirectories(earlierHeartbeat, 0));
        }
        const startedAt = kind === "leaveCallWithStart" ? this.startedAt : undefined;
        const call = (): ServerCall => kind === "draining" ? this.nextHeartbeat() : leaveCall(this.id, startedAt);
        while (!this.hasCrashed && !await this.postToDirectories(call(), directory)) {
            await this.delay(heartbeatIntervalMilliseconds / 4);
        }
        if (this.hasCrashed) {
            return;
        }
        this.options.invariants.drainAcknowledged(this.id, performance.now());
        await this.delay(drainMilliseconds);
        await this.postToDirectories(leaveCall(this.id), directory);
    }

    /** Closes the server and resets all its connections immediately. */
    crash(): void {
        if (this.hasCrashed) {
            return;
        }
        this.hasCrashed = true;
        this.pendingDelays.forEach((resolve, timer) => {
            clearTimeout(timer);
            resolve();
        });
        this.pendingDelays.clear();
        this.relay.reset();
        this.relay.close();
        this.server.close();
        this.server.closeAllConnections();
    }

    private async sendHeartbeats(): Promise<void> {
        while (!this.hasCrashed && this.sendsHeartbeats) {
            await this.postToDirectories(this.nextHeartbeat(), 0);
            await this.delay(heartbeatIntervalMilliseconds);
        }
    }

    private nextHeartbeat(): ServerCall {
        this.sequence += 1;
        const { service, failureDomain, version } = this.options;
        const { host, port } = this.relay.address;
        return announcementCall(this.id, {
            service,
            address: `${host}:${port}`,
            failureDomain,
            state: this.state,
            stage: this.stage,
            sequence: this.sequence,
            softwareVersion: version,
            startedAt: this.startedAt,
        });
    }

    /** Calls the directories in turn, beginning with the one of the given number; returns whether one acknowledged. */
    private async postToDirectories({ path, body }: ServerCall, first: number): Promise<boolean> {
        const directories = this.options.directories();
        for (let number = first; number < first + directories.length; number++) {
            const directory = directories[number % directories.length]!;
            try {
                const signal = AbortSignal.timeout(heartbeatTimeoutMilliseconds);
                const answer = await fetch(`http://${directory}${path}`, { method: "POST", body, signal });
                await answer.text();
                if (answer.ok) {
                    return true;
                }
            }
            catch {
                // This directory is down or unreachable; the next one is tried.
            }
        }
        return false;
    }

    private async receive(request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
        const chunks: Buffer[] = [];
        request.on("data", (chunk: Buffer) => chunks.push(chunk));
        const isComplete = await new Promise<boolean>(resolve => {
            request.once("end", () => resolve(true));
            request.once("close", () => resolve(false));
        });
        if (!isComplete) {
            return;
        }
        const { method = "GET", url = "/" } = request;
        const body = Buffer.concat(chunks).toString();
        const order = receivedOrder(method, url, body);
        const freedCache = releasedHandle(method, url);
        if (order !== undefined) {
            this.applyOrder(order, response);
        }
        else if (freedCache !== undefined) {
            this.options.caches.delete(freedCache);
            response.end();
        }
        else {
            await this.serve(receivedRequest(request.headers), response, body);
        }
    }

    private applyOrder(order: NonNullable<ReturnType<typeof receivedOrder>>, response: http.ServerResponse): void {
        if (order.fence < this.lastFence) {
            response.writeHead(412).end();
            return;
        }
        this.lastFence = order.fence;
        this.options.invariants.orderAccepted(order.holder, order.fence);
        this.stage = undefined;
        void this.delay(stageSwitchMilliseconds).then(() => {
            this.stage = order.stage;
        });
        response.writeHead(202).end();
    }

    private async serve(received: ReceivedRequest, response: http.ServerResponse, body: string): Promise<void> {
        const { attempt, instance, promptParts } = received;
        const poisonPart = this.service === "pool" ? promptParts.find(isPoisonPart) : undefined;
        const poison = isPoison(body) ? body : poisonPart;
        if (this.limit !== undefined) {
            setLimit(response, this.limit);
            response.once("finish", () => this.options.invariants.limitTold(this.id, attempt, performance.now()));
        }
        this.options.invariants.arrived({
            attempt,
            server: this.id,
            service: this.service,
            at: performance.now(),
            isAcceptedPrefill: received.prefillOnly && this.stage === "prefill" && instance === this.id,
        });
        if (instance !== undefined && instance !== this.id) {
            response.writeHead(421, notRunHeaders(attempt)).end();
        }
        else if (poison !== undefined && !received.prefillOnly) {
            this.options.invariants.runStarted(received, this.id, performance.now())(performance.now());
            this.options.invariants.backendCrashed(poison, this.id, performance.now());
            this.options.onPoisonRequest(this);
        }
        else if (this.service === "plain") {
            await this.answerPlain(received, response);
        }
        else if (received.prefillOnly) {
            await this.prefill(received, response);
        }
        else {
            await this.decode(received, response);
        }
    }

    private async prefill({ attempt }: ReceivedRequest, response: http.ServerResponse): Promise<void> {
        if (this.stage !== "prefill") {
            response.writeHead(421, notRunHeaders(attempt)).end();
            return;
        }
        await this.delay(prefillMilliseconds * this.slowdownFactor);
        this.createdHandles += 1;
        const handle = `${this.id}-${this.createdHandles}`;
        if (!this.expiresHandles) {
            this.options.caches.set(handle, { attempt, version: this.version });
            void this.delay(handleLifetimeMilliseconds).then(() => this.options.caches.delete(handle));
        }
        response.end(prefillAnswer(handle));
    }

    private async answerPlain(received: ReceivedRequest, response: http.ServerResponse): Promise<void> {
        const { attempt } = received;
        if (this.running >= plainSlots) {
            response.writeHead(503, notRunHeaders(attempt)).end();
            return;
        }
        await this.runRequest(received, response, async () => {
            await this.delay(isLong(attempt) ? longAnswerMilliseconds : plainAnswerMilliseconds * this.slowdownFactor);
            const text = plainText(attempt);
            this.beginAnswer(response, answerHeaders(attempt, this.id, this.id));
            if (this.dropsResponses) {
                writeAndReset(response, text.slice(0, text.length / 2));
                return;
            }
            response.end(text);
        });
    }

    private async decode(received: ReceivedRequest, response: http.ServerResponse): Promise<void> {
        const { attempt, handle, resumeAfter = 0, resumes = attempt } = received;
        const cache = this.options.caches.get(handle ?? "");
        const isRefused = this.refusesToGoOn && resumeAfter > 0 && received.resumes === undefined;
        if (isRefused || this.stage !== "decode" || (handle !== undefined && cache === undefined)) {
            response.writeHead(this.stage === "decode" ? 503 : 421, notRunHeaders(attempt)).end();
            return;
        }
        if (cache !== undefined && cache.attempt !== attempt) {
            this.options.invariants.violate(
                "its own whole answer",
                `${attempt} resumed from the KV cache of another request`,
            );
        }
        if (cache !== undefined && cache.version !== this.version) {
            this.options.invariants.violate(
                "one version",
                `${this.id} got a KV cache of ${cache.version} for ${attempt}`,
            );
        }
        this.options.caches.delete(handle ?? "");
        await this.runRequest(received, response, async () => {
            const headers = { ...answerHeaders(attempt, this.id, this.id), "Content-Type": "text/event-stream" };
            const isDropped = this.dropsResponses;
            this.beginAnswer(response, headers);
            const interval = isLong(resumes)
                ? longAnswerMilliseconds / eventCount(resumes)
                : eventIntervalMilliseconds * this.slowdownFactor;
            for (let number = resumeAfter + 1; number <= eventCount(resumes) && !response.destroyed; number++) {
                const event = eventText(resumes, number, this.version);
                if (isDropped && number >= eventCount(resumes) / 2) {
                    writeAndReset(response, event);
                    return;
                }
                response.write(event);
                await this.delay(interval);
            }
            if (this.dropsResponses) {
                response.socket?.resetAndDestroy();
                return;
            }
            response.end();
        });
    }

    /** Begins a successful answer; one whose connection will be reset has no length. */
    private beginAnswer(response: http.ServerResponse, headers: http.OutgoingHttpHeaders): void {
        if (this.dropsResponses) {
            omitLength(response);
        }
        response.writeHead(200, headers);
    }

    /** Runs a request and records the run, which ends when the response or its connection is closed. */
    private async runRequest(
        received: ReceivedRequest,
        response: http.ServerResponse,
        handler: () => Promise<void>,
    ): Promise<void> {
        this.running += 1;
        const ended = this.options.invariants.runStarted(received, this.id, performance.now());
        response.once("close", () => ended(performance.now()));
        try {
            await handler();
        }
        finally {
            this.running -= 1;
        }
    }

    private delay(milliseconds: number): Promise<void> {
        if (this.hasCrashed) {
            return Promise.resolve();
        }
        return new Promise(resolve => {
            const timer = setTimeout(() => {
                this.pendingDelays.delete(timer);
                resolve();
            }, milliseconds);
            this.pendingDelays.set(timer, resolve);
        });
    }
}
