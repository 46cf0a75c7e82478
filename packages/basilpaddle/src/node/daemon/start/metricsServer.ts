import * as http from "node:http";
import type { AddressInfo } from "node:net";
import type { HeldRequests } from "../../coordination/index.js";
import type { RecordedMetrics } from "../../utils/index.js";
import { answerHeld } from "../operators/heldCalls.js";

/** Path at which metrics are served. */
const metricsPath = "/metrics";
const jsonType = "application/json; charset=utf-8";
const contentType = "text/plain; version=0.0.4; charset=utf-8";
/** Milliseconds for a reader's request to arrive. */
const receiveTimeout = 5_000;

/** Serves metrics in the Prometheus text format, and operators' calls about requests that are held back. */
export class MetricsServer {
    private constructor(private readonly server: http.Server) {}

    static async create(
        address: { readonly host: string; readonly port: number; },
        metrics: RecordedMetrics,
        quarantinedRequests: HeldRequests,
    ): Promise<MetricsServer> {
        const server = http.createServer({ requestTimeout: receiveTimeout }, (request, response) => {
            void answerHeld(quarantinedRequests, request).then(reply => {
                if (reply !== undefined) {
                    write(response, reply.status, jsonType, `${JSON.stringify(reply.body)}\n`);
                }
                else if (request.method === "GET" && request.url === metricsPath) {
                    write(response, 200, contentType, metrics.text());
                }
                else {
                    write(response, 404, contentType, "not found\n");
                }
            });
        });
        await new Promise<void>((resolve, reject) => {
            server.once("error", reject);
            server.listen(address.port, address.host, resolve);
        });
        return new MetricsServer(server);
    }

    /** The port that it listens on. */
    port(): number {
        return (this.server.address() as AddressInfo).port;
    }

    /** Stops serving. */
    close(): void {
        this.server.close();
        this.server.closeAllConnections();
    }
}

function write(response: http.ServerResponse, status: number, type: string, text: string): void {
    const body = Buffer.from(text);
    response.writeHead(status, { "Content-Type": type, "Content-Length": body.length });
    response.end(body);
}
