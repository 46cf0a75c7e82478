import type { InstanceTable } from "../../coordination/index.js";
import { type ServerAnnouncement, serverName, type ServiceRule } from "../../protocol/index.js";
import { afterPoll } from "../../utils/index.js";
import { type AnswerLimits, drain, isAnswer } from "../backends/index.js";
import type { GatewayWire } from "./gatewayWire.js";
import type { ServerPaths } from "./serverPaths.js";

/** Time limit of asking which incarnation listens; another one than the expected answers at once. */
const identityTimeoutMilliseconds = 300;
/** A kept connection to an incarnation that has ended may break under the first status check. */
const maxIdentityChecks = 2;

/** Dependencies of `AnswerEndCheck`. */
export type AnswerEndCheckOptions = {
    readonly wire: GatewayWire;
    readonly paths: ServerPaths;
    readonly instances: InstanceTable;
    readonly answers: AnswerLimits;
    readonly gateways: () => number;
};

/** An answer without a length, whose connection has ended in the regular way. */
export type EndedAnswer = {
    readonly server: ServerAnnouncement;
    readonly service: ServiceRule;
    /** The gateway that relayed it, if one did. */
    readonly via: string | undefined;
};

/**
 * Checks answers that end with their connection: the operating system of a server or a relay that crashes ends connections in the
 * same way as a server does after its whole answer.
 */
export class AnswerEndCheck {
    private constructor(private readonly options: AnswerEndCheckOptions) {}

    static create(options: AnswerEndCheckOptions): AnswerEndCheck {
        return new AnswerEndCheck(options);
    }

    /** Whether the server, or the relay, has ended as far as can be known, so that the answer may have been cut short. */
    async mayBeCut(answer: EndedAnswer): Promise<boolean> {
        const { server, via } = answer;
        if (this.options.instances.isLost(server.id) || !await this.options.paths.stillReaches(server, via)) {
            return true;
        }
        // The system may still accept connections for a process that is ending, and the next incarnation may listen already.
        return this.isReplaced(answer);
    }

    /** Whether another incarnation answers at the server's address, or none does. One that keeps a connection and isn't in time counts as the same. */
    private async isReplaced(answer: EndedAnswer): Promise<boolean> {
        const timeout = new AbortController();
        const cancelTimeout = afterPoll(identityTimeoutMilliseconds, () => timeout.abort());
        const incarnation = await this.askIncarnation(answer, timeout.signal);
        cancelTimeout();
        return incarnation === undefined ? !timeout.signal.aborted : incarnation !== serverName(answer.server);
    }

    /** The incarnation that answers a status check, which is the expected one unless it names another; undefined if none answers. */
    private async askIncarnation({ server, service }: EndedAnswer, signal: AbortSignal): Promise<string | undefined> {
        const { wire, paths, answers, gateways } = this.options;
        const expected = serverName(server);
        const { method, path, headers } = wire.statusCheck(expected, service.healthPath);
        const call = { server, method, path, headers: Object.entries(headers).flat(), body: undefined, signal };
        for (let check = 0; check < maxIdentityChecks && !signal.aborted; check++) {
            const answer = await paths.call(call, service.connectionLimit, gateways());
            if (isAnswer(answer)) {
                drain(answer, { server, limits: answers });
                return wire.parseAnswer(answer.status, answer.headers).instance ?? expected;
            }
        }
        return undefined;
    }
}
