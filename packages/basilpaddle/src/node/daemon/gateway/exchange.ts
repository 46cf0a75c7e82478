import type { CallTally, CrashWatch, InstanceTable, LinkQuality, ServerChoice } from "../../coordination/index.js";
import { type Announced, serverName, type ServiceRule } from "../../protocol/index.js";
import type { Clock, Logger, Metrics } from "../../utils/index.js";
import {
    type BackendAnswer,
    type BackendConnections,
    type CallFailure,
    discard,
    drain,
    isAnswer,
} from "../backends/index.js";
import type { CallerRequest } from "./callerRequest.js";
import type { AnswerFacts, GatewayWire, RunFacts } from "./gatewayWire.js";
import type { RepeatAllowance } from "./repeatAllowance.js";

const misdirected = 421;

/** What exchanges share. */
export type ExchangeParts = {
    readonly wire: GatewayWire;
    readonly connections: BackendConnections;
    readonly instances: InstanceTable;
    readonly choice: ServerChoice;
    /** What the leader is told of calls to plain services. */
    readonly tally: CallTally;
    /** How well links pass streams on. */
    readonly links: LinkQuality;
    readonly clock: Clock;
    readonly logger: Logger;
    readonly metrics: Metrics;
    /** Tells the directories that an incarnation has ended. */
    readonly reportEnded: (instance: string) => void;
    /** Which requests backend servers ended under. */
    readonly crashes: CrashWatch;
    /** What may be sent to a second backend server. */
    readonly repeats: RepeatAllowance;
    /** Gateways of the deployment. */
    readonly gateways: () => number;
};

/** What came of sending a request to one backend server. */
export type Sent =
    /** The head of an answer that belongs to this request. */
    | { readonly kind: "answer"; readonly answer: BackendAnswer; readonly facts: AnswerFacts; }
    /** It has not run there: turned away, or nothing was sent. */
    | { readonly kind: "notRun"; readonly cause: string; readonly unreachable: boolean; readonly status?: number; }
    /** It may have run. */
    | { readonly kind: "unknown"; readonly cause: string; };

/** Sends requests to backend servers and judges what comes back: whose answer it is, and whether the request ran. */
export class Sender {
    private constructor(private readonly parts: ExchangeParts) {}

    static create(parts: ExchangeParts): Sender {
        return new Sender(parts);
    }

    /** Sends the caller's request with this system's own headers. */
    async send(
        request: CallerRequest,
        server: Announced,
        service: ServiceRule,
        facts: Omit<RunFacts, "attempt" | "deadlineWithin" | "instance">,
        signal: AbortSignal,
    ): Promise<Sent> {
        const { wire, connections, gateways } = this.parts;
        const own = wire.run({
            ...facts,
            attempt: request.facts.attempt,
            deadlineWithin: Math.max(1, Math.floor(request.left())),
            instance: serverName(server),
        });
        const replaced = new Set([...wire.reserved, ...Object.keys(own).map(name => name.toLowerCase())]);
        const result = await connections.call(
            {
                server,
                method: request.method,
                path: request.target,
                headers: [...request.headers(replaced), ...Object.entries(own).flat()],
                body: request.body,
                signal,
            },
            service.connectionLimit,
            gateways(),
        );
        return isAnswer(result) ? this.judge(request, server, result) : lost(result);
    }

    private judge(request: CallerRequest, server: Announced, answer: BackendAnswer): Sent {
        const facts = this.parts.wire.answer(answer.status, answer.headers);
        if (facts.attempt !== undefined && facts.attempt !== request.facts.attempt) {
            // A second answer to an earlier request on the connection: everything after it would be off by one.
            discard(answer);
            return { kind: "unknown", cause: `an answer to ${facts.attempt} came in the place of this one's` };
        }
        if (answer.status === misdirected && facts.instance !== undefined && facts.instance !== serverName(server)) {
            this.parts.logger.warn("another incarnation answers at the address", {
                expected: server.id,
                found: facts.instance,
                address: server.address,
            });
            this.parts.instances.end(server.id);
            this.parts.connections.forget(server.id);
            // Otherwise each gateway finds it out by a request of its own, and each costs a repeat.
            this.parts.reportEnded(server.id);
        }
        if (facts.notRun) {
            drain(answer);
            return {
                kind: "notRun",
                cause: `turned away with ${answer.status}`,
                unreachable: false,
                status: answer.status,
            };
        }
        return { kind: "answer", answer, facts };
    }
}

function lost(failure: CallFailure): Sent {
    return failure.kind === "notSent"
        ? { kind: "notRun", cause: failure.cause, unreachable: true }
        : { kind: "unknown", cause: failure.cause };
}
