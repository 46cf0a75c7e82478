import * as http from "node:http";

const keepAliveTimeoutMilliseconds = 10_000;

/** Answers the balancer's probes at an address: 200 while `isReady`, otherwise 503. Returns what closes the server. */
export async function serveReadiness(
    { host, port }: { readonly host: string; readonly port: number; },
    path: string,
    isReady: () => boolean,
): Promise<() => void> {
    const server = http.createServer({ keepAliveTimeout: keepAliveTimeoutMilliseconds }, (incoming, response) => {
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
