import * as http from "node:http";
import type { AddressInfo } from "node:net";
import type { RecordedMetrics } from "../../utils/index.js";

/** Path at which metrics are served. */
const metricsPath = "/metrics";
const contentType = "text/plain; version=0.0.4; charset=utf-8";
/** Milliseconds for a reader's request to arrive. */
const receiveTimeout = 5_000;

/** Serves metrics in the Prometheus text format. */
export class MetricsServer {
    private constructor(private readonly server: http.Server) {}

    static async create(
        address: { readonly host: string; readonly port: number; },
        metrics: RecordedMetrics,
    ): Promise<MetricsServer> {
        const server = http.createServer({ requestTimeout: receiveTimeout }, (request, response) => {
            const known = request.method === "GET" && request.url === metricsPath;
            const body = Buffer.from(known ? metrics.text() : "not found\n");
            response.writeHead(known ? 200 : 404, { "Content-Type": contentType, "Content-Length": body.length });
            response.end(body);
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
