import * as http from "node:http";
import type { AddressInfo } from "node:net";
import type { QuarantinedRequests } from "../../coordination/index.js";
import type { RecordedMetrics } from "../../utils/index.js";
import { answerQuarantineCall } from "../operators/quarantineCalls.js";

/** Path at which metrics are served. */
const metricsPath = "/metrics";
const jsonContentType = "application/json; charset=utf-8";
const metricsContentType = "text/plain; version=0.0.4; charset=utf-8";
/** Time within which a client's request must be received completely. */
const requestTimeoutMilliseconds = 5_000;

/** Serves metrics in the Prometheus text format, and operators' calls about quarantined requests. */
export class MetricsServer {
    private constructor(private readonly server: http.Server) {}

    static async create(
        address: { readonly host: string; readonly port: number; },
        metrics: RecordedMetrics,
        quarantine: QuarantinedRequests,
    ): Promise<MetricsServer> {
        const server = http.createServer({ requestTimeout: requestTimeoutMilliseconds }, (request, response) => {
            void answerQuarantineCall(quarantine, request).then(reply => {
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
    const body = Buffer.from(text);
    response.writeHead(status, { "Content-Type": contentType, "Content-Length": body.length });
    response.end(body);
}
