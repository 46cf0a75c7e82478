import { PathMonitor, type PathMonitorOptions, type ProbeOutcome } from "../../coordination/index.js";
import type { ServerAnnouncement } from "../../protocol/index.js";
import { ConnectionFailure, connectTimeoutCode } from "../../transport/index.js";
import {
    type AnswerLimits,
    type BackendAnswer,
    type BackendCall,
    BackendConnections,
    type CallFailure,
    type ConnectionOpener,
    isAnswer,
    sendPreventedCode,
} from "../backends/index.js";
import { relayFailureCode, relayTimeoutCode } from "./tunnelOpener.js";

/** A call that ended without an answer is examined if the whole path has been silent for this long. */
const suspiciousSilenceMilliseconds = 100;

/** A failed call. `lostOnPath`: the path is the cause, not the backend server. */
export type PathFailure = CallFailure & { readonly lostOnPath: boolean; };

/** Dependencies of a path. */
export type ServerPathOptions = Omit<PathMonitorOptions, "probe" | "receivedBytes"> & {
    readonly opener: ConnectionOpener;
    /** @default the default bounds */
    readonly answers?: AnswerLimits;
};

/** A way by which this gateway reaches backend servers, with its connections and what is known of its state. */
export class ServerPath {
    readonly connections: BackendConnections;
    readonly monitor: PathMonitor;

    private constructor(options: ServerPathOptions) {
        const { opener, logger, answers } = options;
        this.connections = BackendConnections.create(logger, opener, answers);
        this.monitor = PathMonitor.create({
            ...options,
            probe: server => probe(opener, server),
            receivedBytes: () => this.connections.receivedBytes(),
        });
    }

    static create(options: ServerPathOptions): ServerPath {
        return new ServerPath(options);
    }

    isSound(): boolean {
        return this.monitor.state() === "sound";
    }

    /** Sends a request and returns the head of the answer; a failure tells whether its server or this path is the cause. */
    async call(call: BackendCall, limit: number, gateways: number): Promise<BackendAnswer | PathFailure> {
        const ended = this.monitor.callStarted(call.server.id);
        const result = await this.connections.call(call, limit, gateways);
        if (isAnswer(result)) {
            result.body.once("close", ended);
            return result;
        }
        ended();
        return { ...result, lostOnPath: await this.isLostOnPath(call, result) };
    }

    async close(): Promise<void> {
        this.monitor.close();
        await this.connections.close();
    }

    private async isLostOnPath({ server }: BackendCall, failure: CallFailure): Promise<boolean> {
        if (failure.kind === "notSent") {
            if (failure.cause === sendPreventedCode) {
                return false;
            }
            const isRelaysFault = failure.cause === relayFailureCode || failure.cause === relayTimeoutCode;
            return isRelaysFault || !await this.monitor.confirm(server.id);
        }
        if (failure.wasReset || this.monitor.silence() > suspiciousSilenceMilliseconds) {
            return !await this.monitor.confirm(server.id);
        }
        return !this.isSound();
    }
}

async function probe(opener: ConnectionOpener, server: ServerAnnouncement): Promise<ProbeOutcome> {
    try {
        (await opener.open(server)).destroy();
        return "established";
    }
    catch (error) {
        const code = error instanceof ConnectionFailure ? error.code : undefined;
        return code === connectTimeoutCode || code === relayTimeoutCode ? "late" : "refused";
    }
}
