import type * as http from "node:http";
import type { Logger, Metrics } from "../../utils/index.js";
import type { GatewayWire } from "./gatewayWire.js";
import { writeOwnAnswer } from "./ownAnswer.js";

/** Answers a request that can't be routed with an error, and discards the rest of its body. */
export function refuseUnrouted(
    { wire, logger, metrics }: { readonly wire: GatewayWire; readonly logger: Logger; readonly metrics: Metrics; },
    incoming: http.IncomingMessage,
    response: http.ServerResponse,
    status: number,
    cause: string,
    headers: Readonly<Record<string, string>> = {},
): void {
    const request = wire.parseCaller(incoming.headers).attempt;
    metrics.count("basilpaddle_requests_turned_away_total", { status: String(status) });
    logger.info("request turned away", { request, target: incoming.url, status, cause });
    incoming.resume();
    const closes = status === 413 || status === 431;
    writeOwnAnswer(response, status, cause, closes ? { ...headers, Connection: "close" } : headers);
}
