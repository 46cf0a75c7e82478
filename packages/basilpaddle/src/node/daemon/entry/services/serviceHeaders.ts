import type { IncomingHttpHeaders, IncomingMessage } from "node:http";
import { callerHeaders } from "../../../protocol/index.js";

/** Headers that apply to a single connection (hop-by-hop) and aren't forwarded. */
const hopByHop = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/** The end-to-end headers of a message, without the hop-by-hop ones and those that `connection` names. */
export function endToEnd(headers: IncomingHttpHeaders): Record<string, string | string[]> {
    const connectionHeaders = String(headers.connection ?? "").toLowerCase().split(",").map(name => name.trim());
    const droppedHeaders = new Set([...hopByHop, ...connectionHeaders]);
    const endToEndOnly: Record<string, string | string[]> = {};
    for (const [name, value] of Object.entries(headers)) {
        if (value !== undefined && !droppedHeaders.has(name)) {
            endToEndOnly[name] = value;
        }
    }
    return endToEndOnly;
}

/** Headers of a request as forwarded to a service. */
export function forwardedHeaders(request: IncomingMessage, requestId: string): Record<string, string | string[]> {
    const headers = endToEnd(request.headers);
    // This daemon has already sent "100 Continue" itself when the body arrives.
    delete headers.expect;
    const earlierAddresses = headers["x-forwarded-for"];
    const senderAddress = request.socket.remoteAddress ?? "unknown";
    headers["x-forwarded-for"] = earlierAddresses === undefined
        ? senderAddress
        : `${String(earlierAddresses)}, ${senderAddress}`;
    headers[callerHeaders.requestId] = requestId;
    return headers;
}
