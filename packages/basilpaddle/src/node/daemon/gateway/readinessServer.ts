import * as http from "node:http";
import type { ConnectionGuard } from "../listeners/index.js";

const keepAliveTimeoutMilliseconds = 10_000;
/** Bytes of the largest head of a probe. */
const maxHeaderBytes = 16_384;
/** Enough for the balancers of a deployment. */
const maxConnections = 256;

/** Answers the balancer's probes at an address: 200 while `isReady`, otherwise 503. Returns what closes the server. */
export async function serveReadiness(
    { host, port }: { readonly host: string; readonly port: number; },
    path: string,
    isReady: () => boolean,
    guard: ConnectionGuard,
): Promise<() => void> {
    const server = http.createServer({
        keepAliveTimeout: keepAliveTimeoutMilliseconds,
        maxHeaderSize: maxHeaderBytes,
    });
    guard.watch(server, { listener: "readiness", headBytes: maxHeaderBytes, connections: maxConnections });
    server.on("request", (incoming, response) => {
        const isProbe = (incoming.url ?? "").split("?", 1)[0] === path;
        const readyStatus = isReady() ? 200 : 503;
        response.writeHead(isProbe ? readyStatus : 404, { "Content-Length": 0 });
        response.end();
    });
    await new Promise<void>((resolve, reject) => {
        server.once("error", reject);
        server.listen(port, host, resolve);
    });
    return () => {
        server.close();
        server.closeAllConnections();
    };
}
