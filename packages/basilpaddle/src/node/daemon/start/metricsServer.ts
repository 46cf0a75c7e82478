import * as http from "node:http";
import type { AddressInfo } from "node:net";
import type { QuarantinedRequests } from "../../coordination/index.js";
import type { RecordedMetrics } from "../../utils/index.js";
import type { BodyRoom, ConnectionGuard } from "../listeners/index.js";
import { answerQuarantineCall } from "../operators/quarantineCalls.js";

/** Path at which metrics are served. */
const metricsPath = "/metrics";
const jsonContentType = "application/json; charset=utf-8";
const metricsContentType = "text/plain; version=0.0.4; charset=utf-8";
/** Time within which a client's request must be received completely. */
const requestTimeoutMilliseconds = 5_000;
/** Bytes of the largest head that the parser takes. */
const maxHeaderBytes = 16 * 1024;
/** Enough for scrapes and operators, whose answers may be large. */
const maxConnections = 64;

/** Serves metrics in the Prometheus text format, and operators' calls about quarantined requests. */
export class MetricsServer {
    private constructor(private readonly server: http.Server) {}

    static async create(
        address: { readonly host: string; readonly port: number; },
        metrics: RecordedMetrics,
        quarantine: QuarantinedRequests,
        { guard, room }: { readonly guard: ConnectionGuard; readonly room: BodyRoom; },
    ): Promise<MetricsServer> {
        const times = { requestTimeout: requestTimeoutMilliseconds, headersTimeout: requestTimeoutMilliseconds };
        const server = http.createServer({ ...times, maxHeaderSize: maxHeaderBytes });
        guard.watch(server, { listener: "metrics", headBytes: maxHeaderBytes, connections: maxConnections });
        server.on("request", (request, response) => {
            void answerQuarantineCall(quarantine, request, response, room).then(reply => {
                if (reply !== undefined) {
                    write(response, reply.status, jsonContentType, `${JSON.stringify(reply.body)}\n`);
                }
                else if (request.method === "GET" && request.url === metricsPath) {
                    write(response, 200, metricsContentType, metrics.text());
                }
                else {
                    write(response, 404, metricsContentType, "not found\n");
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

    /** Stops listening and closes all connections. */
    close(): void {
        this.server.close();
        this.server.closeAllConnections();
    }
}

function write(response: http.ServerResponse, status: number, contentType: string, text: string): void {
    if (response.headersSent || response.destroyed) {
        return;
    }
    const body = Buffer.from(text);
    response.writeHead(status, { "Content-Type": contentType, "Content-Length": body.length });
    response.end(body);
}
