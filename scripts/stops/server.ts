import * as http from "node:http";
import type { AddressInfo } from "node:net";
import {
    announcementCall,
    answerHeaders,
    notRunHeaders,
    prefillAnswer,
    receivedOrder,
    receivedRequest,
    releasedHandle,
} from "../../platform/src/standins/wire.js";
import type { EngineFaults } from "./engineFaults.js";
import { ServerRuns } from "./exchange.js";

const eventMilliseconds = 100;
const prefillMilliseconds = 20;
const heartbeatMilliseconds = 500;
const heartbeatTimeoutMilliseconds = 1_000;
const refusedOrderStatus = 409;
const refusedStatus = 503;

/** Service and stage of a backend server. */
export type ServerKind = { readonly service: "plain" | "pool"; readonly stage: "prefill" | "decode" | undefined; };

/** A backend server, which takes as many milliseconds for an answer as the last part of the path says; sound but for the engine faults. */
export class Server {
    private sequence = 0;
    private readonly startedAt = Date.now();
    private readonly heartbeats: NodeJS.Timeout;

    private constructor(
        private readonly id: string,
        private readonly kind: ServerKind,
        private readonly directories: readonly string[],
        private readonly server: http.Server,
        private readonly runs: Map<string, ServerRuns>,
        private readonly faults: EngineFaults,
    ) {
        server.on("request", (request, response) => this.receive(request, response));
        void this.announce();
        this.heartbeats = setInterval(() => void this.announce(), heartbeatMilliseconds);
    }

    /** Starts a server on a port that the system chooses. `runs`: takes what it worked on, by attempt. */
    static async create(
        id: string,
        kind: ServerKind,
        host: string,
        directories: readonly string[],
        runs: Map<string, ServerRuns>,
        faults: EngineFaults,
    ): Promise<Server> {
        const server = http.createServer({ keepAliveTimeout: 60_000 });
        await new Promise<void>(resolve => server.listen(0, host, resolve));
        return new Server(id, kind, directories, server, runs, faults);
    }

    /** Stops listening and closes all connections. */
    close(): void {
        clearInterval(this.heartbeats);
        this.server.close();
        this.server.closeAllConnections();
    }

    /** Sends its heartbeat to the first directory that takes it. */
    private async announce(): Promise<void> {
        const { address, port } = this.server.address() as AddressInfo;
        this.sequence += 1;
        const call = announcementCall(this.id, {
            ...this.kind,
            address: `${address}:${port}`,
            failureDomain: "a",
            state: "ready",
            sequence: this.sequence,
            softwareVersion: "v1",
            startedAt: this.startedAt,
        });
        for (const directory of this.directories) {
            try {
                const signal = AbortSignal.timeout(heartbeatTimeoutMilliseconds);
                const answer = await fetch(`http://${directory}${call.path}`, {
                    method: "POST",
                    body: call.body,
                    signal,
                });
                await answer.text();
                if (answer.ok) {
                    return;
                }
            }
            catch {
                // The directory is starting; the next one is tried, and all again with the next heartbeat.
            }
        }
    }

    private receive(request: http.IncomingMessage, response: http.ServerResponse): void {
        const { method = "GET", url = "/", headers } = request;
        let body = "";
        request.on("data", chunk => (body += String(chunk)));
        request.on("end", () => {
            if (receivedOrder(method, url, body) !== undefined) {
                response.writeHead(refusedOrderStatus).end();
            }
            else if (releasedHandle(method, url) !== undefined) {
                response.end();
            }
            else {
                this.serve(receivedRequest(headers), Number(/\d+$/.exec(url)?.[0] ?? 0), response);
            }
        });
    }

    private serve(
        { attempt, prefillOnly, resumeAfter }: ReturnType<typeof receivedRequest>,
        milliseconds: number,
        response: http.ServerResponse,
    ): void {
        if (prefillOnly) {
            setTimeout(() => response.end(prefillAnswer(`${this.id}-${attempt}`)), prefillMilliseconds);
            return;
        }
        if (resumeAfter !== undefined && this.faults.drawRefused()) {
            response.writeHead(refusedStatus, notRunHeaders(attempt)).end();
            return;
        }
        const runs = this.runs.get(attempt) ?? ServerRuns.create(performance.now());
        this.runs.set(attempt, runs);
        const endRun = runs.begin();
        const isStream = this.kind.service === "pool";
        const begin = (): void => {
            response.writeHead(200, {
                ...answerHeaders(attempt, this.id, this.id),
                ...isStream ? { "Content-Type": "text/event-stream" } : {},
            });
        };
        let sent = resumeAfter ?? 0;
        const silenceLeft = isStream && this.faults.drawSilent() ? () => this.faults.silenceLeft() : () => 0;
        const writeEvent = (): void => {
            if (response.headersSent && silenceLeft() === 0) {
                response.write(`id: ${++sent}\ndata: x\n\n`);
            }
        };
        const events = isStream ? setInterval(writeEvent, eventMilliseconds) : undefined;
        const head = isStream ? setTimeout(begin, silenceLeft()) : undefined;
        const end = setTimeout(() => {
            clearInterval(events);
            if (!response.headersSent) {
                begin();
            }
            response.end(isStream ? undefined : "done");
        }, milliseconds - sent * eventMilliseconds);
        response.once("close", () => {
            clearInterval(events);
            clearTimeout(end);
            clearTimeout(head);
            endRun(performance.now());
        });
    }
}
