import * as http from "node:http";
import type { Socket } from "node:net";
import { callerHeaders } from "../../platform/src/standins/wire.js";
import { pause } from "../../playground/harness/index.js";
import type { Ending, Exchange } from "./exchange.js";

/** Host that all routes match, the only key, and the limit of each request. */
export const routeHost = "stops.example";
export const callerKey = "stops-key";
export const limitMilliseconds = 20_000;
const retryMilliseconds = 100;
const bodyChunks = 10;

/** What a caller sends. */
export type CallerPlan = {
    /** Path of its requests. */
    readonly path: string;
    /** Time that its bodies take, in milliseconds; they are sent in chunks. */
    readonly bodyMilliseconds: number;
    /** Index of the gateway where it begins. */
    readonly gateway: number;
    /** When it sends its first request, on the monotonic clock; it opens its connection at once. */
    readonly beginsAt: number;
    /** Time that the answer of the request takes which it sends before, in milliseconds. */
    readonly warmUpMilliseconds: number;
    /** Whether it uses its connection again. */
    readonly keepsConnection: boolean;
    readonly isBeside: boolean;
};

/** The gateways, as callers see them. */
export type GatewayList = {
    readonly addresses: readonly { readonly host: string; readonly port: number; }[];
    /** Indexes of the gateways that a balancer chooses for new connections. */
    readonly rotation: () => readonly number[];
};

/** A caller that sends one request after the other on its connection until that closes, and then on a new one at another gateway. */
export class Caller {
    readonly exchanges: Exchange[] = [];
    private agent = createAgent();
    private socket: Socket | undefined;
    private isClosing = false;
    private isStopped = false;
    private gateway: number;

    private constructor(
        private readonly name: string,
        private readonly plan: CallerPlan,
        private readonly gateways: GatewayList,
    ) {
        this.gateway = plan.gateway;
    }

    static create(name: string, plan: CallerPlan, gateways: GatewayList): Caller {
        return new Caller(name, plan, gateways);
    }

    /** Sends requests until it is stopped. */
    async run(): Promise<void> {
        const { path, bodyMilliseconds, beginsAt, warmUpMilliseconds, keepsConnection } = this.plan;
        await this.send(path.replace(/\d+$/, String(warmUpMilliseconds)), 0, true);
        await pause(Math.max(0, beginsAt - performance.now()));
        while (!this.isStopped) {
            if (!keepsConnection || this.isClosing || this.socket?.destroyed !== false) {
                this.reconnect();
            }
            if (await this.send(path, bodyMilliseconds, false) !== "whole") {
                await pause(retryMilliseconds);
            }
        }
        this.agent.destroy();
    }

    /** Sends no further request; the one in progress goes on. */
    stop(): void {
        this.isStopped = true;
    }

    private reconnect(): void {
        this.agent.destroy();
        this.agent = createAgent();
        this.isClosing = false;
        this.socket = undefined;
        const others = this.gateways.rotation().filter(index => index !== this.gateway);
        const candidates = others.length > 0 ? others : this.gateways.rotation();
        const number = Number(/\d+$/.exec(this.name)?.[0] ?? 0);
        this.gateway = candidates[number % candidates.length] ?? this.gateway;
    }

    private async send(path: string, bodyMilliseconds: number, isWarmUp: boolean): Promise<Ending> {
        const exchange: Exchange = {
            attempt: `${this.name}-${this.exchanges.length}${isWarmUp ? "w" : ""}`,
            gateway: this.gateway,
            isBeside: this.plan.isBeside,
            beganAt: performance.now(),
            sentAt: undefined,
            ending: undefined,
            endedAt: 0,
        };
        if (!isWarmUp) {
            this.exchanges.push(exchange);
        }
        const ending = await this.exchange(exchange, path, bodyMilliseconds);
        exchange.ending = ending;
        exchange.endedAt = performance.now();
        return ending;
    }

    private exchange(exchange: Exchange, path: string, bodyMilliseconds: number): Promise<Ending> {
        const part = Buffer.from(exchange.attempt).toString("hex");
        const request = http.request({
            ...this.gateways.addresses[exchange.gateway]!,
            path,
            method: path.startsWith("/safe/") ? "GET" : "POST",
            agent: this.agent,
            headers: { Host: routeHost, ...callerHeaders(exchange.attempt, limitMilliseconds, callerKey, [part]) },
        });
        request.once("socket", socket => {
            this.socket = socket;
        });
        return new Promise(resolve => {
            request.once("error", () => {
                this.isClosing = true;
                resolve("noStatus");
            });
            request.once("response", response => {
                response.resume();
                response.once("error", () => undefined);
                response.once("close", () => {
                    this.isClosing = !response.complete || response.headers.connection === "close";
                    resolve(endingOf(response));
                });
            });
            void sendBody(request, bodyMilliseconds).then(() => {
                exchange.sentAt = performance.now();
            }, () => undefined);
        });
    }
}

function createAgent(): http.Agent {
    return new http.Agent({ keepAlive: true, maxSockets: 1 });
}

/** Sends the body in chunks over as many milliseconds; fails if the connection closes before. */
async function sendBody(request: http.ClientRequest, milliseconds: number): Promise<void> {
    let isAnswered = false;
    request.once("response", () => {
        isAnswered = true;
    });
    for (let chunk = 0; milliseconds > 0 && chunk < bodyChunks; chunk++) {
        request.write("chunk ");
        await pause(milliseconds / bodyChunks);
        if (request.destroyed || isAnswered) {
            break;
        }
    }
    await new Promise<void>((resolve, reject) => {
        request.once("close", () => reject(new Error("closed before the body was sent")));
        request.end(resolve);
    });
}

function endingOf({ statusCode: status = 0, complete }: http.IncomingMessage): Ending {
    if (!complete) {
        return "cutInAnswer";
    }
    return status === 200
        ? "whole"
        : status === 503
        ? "refused"
        : status === 502 || status === 504
        ? "unknown"
        : "other";
}
