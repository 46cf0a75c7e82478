import * as http from "node:http";
import type { AddressInfo } from "node:net";
import {
    announcementCall,
    answerHeaders,
    freedHandle,
    leaveCall,
    notRunHeaders,
    readAnswer,
    receivedOrder,
    type ReceivedRequest,
    receivedRequest,
} from "../platform/src/standins/wire.js";
import { Relay } from "../playground/harness/relay.js";
import type { Invariants } from "./invariants.js";
import { eventCount, eventText, isDeadly, plainText } from "./texts.js";

/** Milliseconds to read a prompt, to answer a plain request, and between two events. */
const readTime = 30;
const plainTime = 15;
const eventTime = 40;
/** Milliseconds that a prompt's KV cache is kept. */
export const handleLife = 500;
/** Milliseconds between two heartbeats. */
const heartbeatInterval = 600;
/** Milliseconds for a directory to acknowledge one, before the next is asked. */
const heartbeatPatience = 1_000;
/**
 * Milliseconds that a backend server goes on after its leaving was acknowledged: well beyond the time after which new
 * work counts as a violation, or a gateway that sends it some would go unnoticed.
 */
const drainTime = 7_000;
/** Milliseconds that a change of stage takes. */
const stageTime = 1_000;
const plainSlots = 12;

/** What a stand-in is made of. */
export type BackendOptions = {
    readonly id: string;
    readonly service: "plain" | "pool";
    readonly stage: "prefill" | "decode" | undefined;
    readonly failureDomain: string;
    readonly host: string;
    /** Addresses where directories take heartbeats, in the order of asking. */
    readonly directories: () => readonly string[];
    readonly invariants: Invariants;
    /** Prompts' KV caches of all engines of the run, by handle: engines fetch them from each other. */
    readonly caches: Map<string, string>;
    /** Called when it begins to run a request that it doesn't survive. */
    readonly onDeadly: (backend: Backend) => void;
};

/** A backend server behind a relay: an engine of the pool or a plain server. It notes what runs on it. */
export class Backend {
    /** How many times longer it takes for its work. */
    slowness = 1;
    /** Whether prompts' KV caches lapse as soon as they are made. */
    lapses = false;
    /** Whether it breaks connections off after it has run what came on them. */
    losesAnswers = false;
    /** What waits for its time here; woken when this backend server ends. */
    private readonly resting = new Map<NodeJS.Timeout, () => void>();
    private stage: "prefill" | "decode" | undefined;
    private state: "ready" | "draining" = "ready";
    private sequence = 0;
    private readonly startedAt = Date.now();
    private running = 0;
    private gone = false;
    private lastFence = 0;
    private made = 0;

    private constructor(
        private readonly options: BackendOptions,
        private readonly server: http.Server,
        readonly relay: Relay,
    ) {
        this.stage = options.stage;
        server.on("request", (request, response) => void this.receive(request, response));
    }

    /** Starts one, which announces itself from now on. */
    static async create(options: BackendOptions): Promise<Backend> {
        const server = http.createServer({ keepAliveTimeout: 20_000 });
        await new Promise<void>(resolve => server.listen(0, options.host, resolve));
        const relay = await Relay.create(options.host);
        const { port } = server.address() as AddressInfo;
        const backend = new Backend(options, server, relay);
        relay.to({ host: options.host, port });
        void backend.announce();
        return backend;
    }

    get id(): string {
        return this.options.id;
    }

    get service(): "plain" | "pool" {
        return this.options.service;
    }

    /** The stage that it began with. */
    get firstStage(): "prefill" | "decode" | undefined {
        return this.options.stage;
    }

    isLeaving(): boolean {
        return this.state === "draining";
    }

    /** Says that it leaves, goes on for a while, and ends. */
    async drain(): Promise<void> {
        this.state = "draining";
        while (!this.gone && !await this.beat()) {
            await this.rest(heartbeatInterval / 4);
        }
        if (this.gone) {
            return;
        }
        this.options.invariants.leaves(this.id, performance.now());
        await this.rest(drainTime);
        const { path, body } = leaveCall(this.id, this.startedAt);
        await this.tell(path, body);
    }

    /** Ends at once: connections break, and nothing listens any more. */
    crash(): void {
        if (this.gone) {
            return;
        }
        this.gone = true;
        this.resting.forEach((wake, timer) => {
            clearTimeout(timer);
            wake();
        });
        this.resting.clear();
        this.relay.reset();
        this.relay.close();
        this.server.close();
        this.server.closeAllConnections();
    }

    private async announce(): Promise<void> {
        while (!this.gone && this.state === "ready") {
            await this.beat();
            await this.rest(heartbeatInterval);
        }
    }

    /** Sends one heartbeat; gives whether a directory acknowledged it. */
    private beat(): Promise<boolean> {
        this.sequence += 1;
        const { service, failureDomain } = this.options;
        const { host, port } = this.relay.address;
        const { path, body } = announcementCall(this.id, {
            service,
            address: `${host}:${port}`,
            failureDomain,
            state: this.state,
            stage: this.stage,
            sequence: this.sequence,
            startedAt: this.startedAt,
        });
        return this.tell(path, body);
    }

    private async tell(path: string, body: string): Promise<boolean> {
        for (const directory of this.options.directories()) {
            try {
                const signal = AbortSignal.timeout(heartbeatPatience);
                const answer = await fetch(`http://${directory}${path}`, { method: "POST", body, signal });
                await answer.text();
                if (answer.ok) {
                    return true;
                }
            }
            catch {
                // This directory is down or cut off; the next one is asked.
            }
        }
        return false;
    }

    private async receive(request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
        const chunks: Buffer[] = [];
        request.on("data", (chunk: Buffer) => chunks.push(chunk));
        const whole = await new Promise<boolean>(resolve => {
            request.once("end", () => resolve(true));
            request.once("close", () => resolve(false));
        });
        if (!whole) {
            return;
        }
        const { method = "GET", url = "/" } = request;
        const body = Buffer.concat(chunks).toString();
        const order = receivedOrder(method, url, body);
        const freed = freedHandle(method, url);
        if (order !== undefined) {
            this.obey(order, response);
        }
        else if (freed !== undefined) {
            this.options.caches.delete(freed);
            response.end();
        }
        else {
            await this.serve(receivedRequest(request.headers), response, body);
        }
    }

    private obey(order: NonNullable<ReturnType<typeof receivedOrder>>, response: http.ServerResponse): void {
        if (order.fence < this.lastFence) {
            response.writeHead(412).end();
            return;
        }
        this.lastFence = order.fence;
        this.options.invariants.ordered(order.holder, order.fence);
        this.stage = undefined;
        void this.rest(stageTime).then(() => {
            this.stage = order.stage;
        });
        response.writeHead(202).end();
    }

    private async serve(received: ReceivedRequest, response: http.ServerResponse, body: string): Promise<void> {
        const { attempt, instance } = received;
        if (instance !== undefined && instance !== this.id) {
            response.writeHead(421, notRunHeaders(attempt)).end();
        }
        else if (isDeadly(body) && !received.prefillOnly) {
            this.options.invariants.ran(attempt, this.id, performance.now())(performance.now());
            this.options.invariants.endedUnder(body, this.id, performance.now());
            this.options.onDeadly(this);
        }
        else if (this.service === "plain") {
            await this.answerPlain(received, response);
        }
        else if (received.prefillOnly) {
            await this.read(received, response);
        }
        else {
            await this.stream(received, response);
        }
    }

    private async read({ attempt }: ReceivedRequest, response: http.ServerResponse): Promise<void> {
        if (this.stage !== "prefill") {
            response.writeHead(421, notRunHeaders(attempt)).end();
            return;
        }
        await this.rest(readTime * this.slowness);
        this.made += 1;
        const handle = `${this.id}-${this.made}`;
        if (!this.lapses) {
            this.options.caches.set(handle, attempt);
            void this.rest(handleLife).then(() => this.options.caches.delete(handle));
        }
        response.end(readAnswer(handle));
    }

    private async answerPlain({ attempt }: ReceivedRequest, response: http.ServerResponse): Promise<void> {
        if (this.running >= plainSlots) {
            response.writeHead(503, notRunHeaders(attempt)).end();
            return;
        }
        await this.work(attempt, response, async () => {
            await this.rest(plainTime * this.slowness);
            if (this.losesAnswers) {
                response.socket?.resetAndDestroy();
                return;
            }
            response.writeHead(200, answerHeaders(attempt, this.id, this.id));
            response.end(plainText(attempt));
        });
    }

    private async stream(received: ReceivedRequest, response: http.ServerResponse): Promise<void> {
        const { attempt, handle, resumeAfter = 0 } = received;
        const known = handle === undefined || this.options.caches.get(handle) !== undefined;
        if (this.stage !== "decode" || !known) {
            response.writeHead(this.stage === "decode" ? 503 : 421, notRunHeaders(attempt)).end();
            return;
        }
        if (handle !== undefined && this.options.caches.get(handle) !== attempt) {
            this.options.invariants.violate("its own whole answer", `${attempt} goes on from the KV cache of another`);
        }
        this.options.caches.delete(handle ?? "");
        await this.work(attempt, response, async () => {
            const headers = answerHeaders(attempt, this.id, this.id);
            response.writeHead(200, { ...headers, "Content-Type": "text/event-stream" });
            for (let number = resumeAfter + 1; number <= eventCount(attempt) && !response.destroyed; number++) {
                response.write(eventText(attempt, number));
                await this.rest(eventTime * this.slowness);
            }
            if (this.losesAnswers) {
                response.socket?.resetAndDestroy();
                return;
            }
            response.end();
        });
    }

    /** Works on a request as long as its caller is there. */
    private async work(attempt: string, response: http.ServerResponse, act: () => Promise<void>): Promise<void> {
        this.running += 1;
        const ended = this.options.invariants.ran(attempt, this.id, performance.now());
        response.once("close", () => ended(performance.now()));
        try {
            await act();
        }
        finally {
            this.running -= 1;
        }
    }

    private rest(milliseconds: number): Promise<void> {
        if (this.gone) {
            return Promise.resolve();
        }
        return new Promise(resolve => {
            const timer = setTimeout(() => {
                this.resting.delete(timer);
                resolve();
            }, milliseconds);
            this.resting.set(timer, resolve);
        });
    }
}
