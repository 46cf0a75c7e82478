import type {
    CallTally,
    CrashDetector,
    InstanceTable,
    LinkQuality,
    ServerAdmission,
    ServerChoice,
} from "../../coordination/index.js";
import { type ServerAnnouncement, serverName, type ServiceRule } from "../../protocol/index.js";
import type { Clock, Logger, Metrics } from "../../utils/index.js";
import {
    type AnswerLimits,
    type BackendAnswer,
    discard,
    drain,
    isAnswer,
    sendPreventedCode,
} from "../backends/index.js";
import type { AnswerEndCheck } from "./answerEndCheck.js";
import type { CallerRequest } from "./callerRequest.js";
import type { AnswerMetadata, GatewayWire, RunMetadata } from "./gatewayWire.js";
import type { GracePeriod } from "./gracePeriod.js";
import type { LoopMonitor } from "./loopMonitor.js";
import { countUnsent, overdueCause } from "./refuseOverdue.js";
import type { RetryAllowance } from "./retryAllowance.js";
import type { PathFailure } from "./serverPath.js";
import type { RoutedResult, ServerPaths } from "./serverPaths.js";

const misdirectedStatus = 421;
const minFailureStatus = 400;
/** How often a send begins again because the event loop lagged before its first byte: a gateway that is always slow still sends. */
const maxPreventedSends = 2;

/** Options shared by all exchanges. */
export type ExchangeOptions = {
    readonly wire: GatewayWire;
    readonly paths: ServerPaths;
    /** Bounds of backend servers' answers. */
    readonly answers: AnswerLimits;
    readonly instances: InstanceTable;
    readonly choice: ServerChoice;
    /** Tally of calls to plain services, which is reported to the leader. */
    readonly tally: CallTally;
    /** Quality of the links, measured by stalls of streams. */
    readonly links: LinkQuality;
    readonly clock: Clock;
    readonly logger: Logger;
    readonly metrics: Metrics;
    /** Reports to the leading directory that an incarnation has ended. */
    readonly reportEnded: (instance: string) => void;
    /** Checks answers that end with their connection. */
    readonly ends: AnswerEndCheck;
    /** Detects backend servers that crash while running a request. */
    readonly crashes: CrashDetector;
    /** Admits requests to backend servers that name a limit; to be asked before each send. */
    readonly admission: ServerAdmission;
    /** How many requests may be sent to another backend server. */
    readonly retryAllowance: RetryAllowance;
    /** Number of gateways of the deployment. */
    readonly gateways: () => number;
    /** Whether requests of different priorities compete for a service's backend servers. @default never */
    readonly hasSeveralPriorities?: (service: string) => boolean;
    /** The time left after a stop signal; to be asked before each first send. @default no end */
    readonly grace?: GracePeriod;
    /** Measures the lag of the event loop; to be asked before each send. */
    readonly loop: LoopMonitor;
};

/** Result of sending a request to one backend server; `via`: the gateway that relayed it, if one did. */
export type SendResult = { readonly via?: string | undefined; } & SendOutcome;

type SendOutcome =
    /** The head of an answer to this request. */
    | { readonly kind: "answer"; readonly answer: BackendAnswer; readonly metadata: AnswerMetadata; }
    /** It has not run there: it was rejected, or nothing was sent. */
    | { readonly kind: "notRun"; readonly cause: string; readonly unreachable: boolean; readonly status?: number; }
        & LossOnPath
    /** It may have run. */
    | { readonly kind: "unknown"; readonly cause: string; } & LossOnPath;

/** Whether the failure lies with the path to the backend server, not with the server. */
type LossOnPath = { readonly lostOnPath: boolean; };

/** What a send states of its run, apart from what follows from the request and the server. */
type SendMetadata = Omit<RunMetadata, "attempt" | "deadlineWithin" | "instance" | "organisation" | "priority">;

/** Whether the first byte may be prevented because the event loop lags, and what to call before it is written. */
type FirstByte = { readonly mayBePrevented: boolean; readonly onSend: () => void; };

/** Sends requests to backend servers and classifies the results: which attempt an answer belongs to, and whether the request ran. */
export class BackendSender {
    private constructor(private readonly options: ExchangeOptions) {}

    static create(options: ExchangeOptions): BackendSender {
        return new BackendSender(options);
    }

    /** Sends the caller's request with this system's own headers. `onFirstByte`: called just before the first byte is written. */
    async send(
        request: CallerRequest,
        server: ServerAnnouncement,
        service: ServiceRule,
        metadata: SendMetadata,
        signal: AbortSignal,
        onFirstByte: () => void = () => undefined,
    ): Promise<SendResult> {
        const { instances, metrics, loop, grace } = this.options;
        const isRun = metadata.prefillOnly !== true;
        let result: RoutedResult;
        let sends = 0;
        let hasBegun = false;
        const onSend = (): void => {
            hasBegun = true;
            request.recordSend(isRun);
            onFirstByte();
        };
        do {
            const obstacle = loop.isLagging() ? await this.obstacle(request, signal) : undefined;
            if (obstacle !== undefined) {
                return { kind: "notRun", cause: obstacle, unreachable: true, lostOnPath: true };
            }
            // Asked last: a signal is handled after all else that came with it, also if it came long before.
            if (grace?.refuse(request) === true) {
                return { kind: "notRun", cause: "the gateway shuts down", unreachable: true, lostOnPath: true };
            }
            if (!instances.acceptsWork(server.id)) {
                // It was chosen, or a run was placed there, before it was known to leave.
                metrics.count("basilpaddle_sends_to_leaving_servers_prevented_total", { service: service.name });
                return { kind: "notRun", cause: "the backend server leaves", unreachable: true, lostOnPath: false };
            }
            sends += 1;
            const mayBePrevented = sends <= maxPreventedSends;
            result = await this.call(request, server, service, metadata, signal, { mayBePrevented, onSend });
        } while (wasPrevented(result));
        const sent = isAnswer(result) ? this.classify(request, server, result) : failureResult(result);
        // A call that failed before its first byte can't have run, also if it ended with its request.
        if (isRun && (sent.kind === "answer" || sent.kind === "unknown" && hasBegun)) {
            request.recordRun();
        }
        if (hasBegun) {
            request.recordSendEnd(isRun);
        }
        return { ...sent, via: result.via };
    }

    /**
     * Why a request mustn't be sent any more while the event loop lags; undefined if it may be. Its caller's connection may have ended, or
     * its time may have passed, in what is still unprocessed.
     */
    private async obstacle(request: CallerRequest, signal: AbortSignal): Promise<string | undefined> {
        const { loop, metrics } = this.options;
        await loop.processPending(() => request.checkDisconnected());
        if (request.checkDisconnected()) {
            countUnsent(metrics, "callerGone");
            return "the caller disconnected";
        }
        if (request.remainingTime() <= 0) {
            countUnsent(metrics, "timeOver");
            return overdueCause;
        }
        return signal.aborted ? "the time limit of this send passed while the event loop lagged" : undefined;
    }

    private call(
        request: CallerRequest,
        server: ServerAnnouncement,
        service: ServiceRule,
        metadata: SendMetadata,
        signal: AbortSignal,
        { mayBePrevented, onSend }: FirstByte,
    ): Promise<RoutedResult> {
        const { wire, paths, gateways, instances, loop, clock } = this.options;
        const readyAt = clock.monotonic();
        const waitEnd = new AbortController();
        const stopListening = instances.onDeparture(server.id, () => waitEnd.abort());
        const runHeaders = wire.runHeaders({
            ...metadata,
            attempt: request.metadata.attempt,
            deadlineWithin: Math.max(1, Math.floor(request.remainingTime())),
            instance: serverName(server),
            organisation: request.identity.organisation?.name,
            priority: this.isPrioritised(service) ? request.priority : undefined,
        });
        const replacedNames = new Set([
            ...wire.systemHeaders,
            ...request.identity.keysInForce ? wire.keyHeaders : [],
            ...Object.keys(runHeaders).map(name => name.toLowerCase()),
        ]);
        return paths.call(
            {
                server,
                method: request.method,
                path: request.target,
                headers: [...request.headers(replacedNames), ...Object.entries(runHeaders).flat()],
                body: request.body,
                signal,
                attempt: request.metadata.attempt,
                maySend: () => {
                    stopListening();
                    const maySend = instances.acceptsWork(server.id)
                        && !request.isDisconnected()
                        && !(mayBePrevented && loop.hasLaggedSince(readyAt));
                    if (maySend) {
                        onSend();
                    }
                    return maySend;
                },
                waitEnd: waitEnd.signal,
            },
            service.connectionLimit,
            gateways(),
        ).finally(stopListening);
    }

    private isPrioritised({ name, engine }: ServiceRule): boolean {
        return engine !== undefined && this.options.hasSeveralPriorities?.(name) === true;
    }

    private classify(request: CallerRequest, server: ServerAnnouncement, answer: BackendAnswer): SendOutcome {
        const metadata = this.options.wire.parseAnswer(answer.status, answer.headers);
        if (metadata.attempt !== undefined && metadata.attempt !== request.metadata.attempt) {
            // A second answer to an earlier request on the connection: all later answers would be off by one.
            discard(answer);
            return {
                kind: "unknown",
                lostOnPath: false,
                cause: `received the answer to another attempt, ${metadata.attempt}`,
            };
        }
        if (
            answer.status === misdirectedStatus && metadata.instance !== undefined
            && metadata.instance !== serverName(server)
        ) {
            this.options.logger.warn("another incarnation answers at the address", {
                expected: server.id,
                found: metadata.instance,
                address: server.address,
            });
            this.options.instances.end(server.id);
            this.options.paths.closeConnections(server.id);
            // Otherwise each gateway would detect it by a request of its own, and spend a retry on it.
            this.options.reportEnded(server.id);
        }
        this.observeLimit(server, answer.status, metadata);
        if (metadata.notRun) {
            drain(answer, { server, limits: this.options.answers });
            return {
                kind: "notRun",
                cause: `turned away with ${answer.status}`,
                unreachable: false,
                lostOnPath: false,
                status: answer.status,
            };
        }
        return { kind: "answer", answer, metadata };
    }

    /** Only a successful answer proves that the server names no limit any more: others may lack it. */
    private observeLimit(server: ServerAnnouncement, status: number, { limit }: AnswerMetadata): void {
        const isSuccess = status < minFailureStatus;
        if (status !== misdirectedStatus && limit !== "malformed" && (limit !== undefined || isSuccess)) {
            this.options.admission.observeAnswer(server.id, limit);
        }
    }
}

/** Whether the first byte wasn't written: the server accepts no work any more, or the event loop lagged since the call. */
function wasPrevented(result: RoutedResult): boolean {
    return !isAnswer(result) && result.kind === "notSent" && result.cause === sendPreventedCode;
}

/** The relay of a send, for the log. */
export function viaRelay({ via }: SendResult): string {
    return via === undefined ? "" : ` via ${via}`;
}

function failureResult({ kind, cause, lostOnPath }: PathFailure): SendOutcome {
    return kind === "notSent"
        ? { kind: "notRun", cause, unreachable: true, lostOnPath }
        : { kind: "unknown", cause, lostOnPath };
}
