import * as http from "node:http";
import * as net from "node:net";
import { route } from "../../../coordination/gateway/__tests__/fakes.js";
import type { TrafficOrganisation, TrafficRoute } from "../../../protocol/index.js";
import { CallerRequest } from "../callerRequest.js";

/** A caller's request on a route, with an answer that goes nowhere; `organisation`: the holder of its key, `age`: milliseconds since its arrival; `unreadFor`: for
 * how many it may have waited unread. */
export function createRequest(
    routeFields: Partial<TrafficRoute>,
    organisation?: TrafficOrganisation,
    age = 0,
    unreadFor = 0,
): CallerRequest {
    const incoming = new http.IncomingMessage(new net.Socket());
    return CallerRequest.create({
        incoming,
        response: new http.ServerResponse(incoming),
        metadata: {
            attempt: "a",
            deadlineWithin: 10_000,
            promptTokens: 3_000,
            maxTokens: 70,
            expectedTokens: undefined,
            tokens: { kind: "notStated" },
        },
        route: route(routeFields),
        identity: { organisation, keysInForce: organisation !== undefined },
        body: undefined,
        arrivedAt: 0,
        unreadFor,
        now: () => age,
    });
}
