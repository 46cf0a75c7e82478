import type { Either } from "purify-ts";
import type { Link, LinkFailure } from "../../transport/index.js";
import type { Clock } from "../../utils/index.js";
import { Operations } from "./operations.js";
import {
    type ControlAnswer,
    controlAnswerSchema,
    type OperatorAnswer,
    type OperatorFailure,
    type OperatorRequest,
} from "./operatorWire.js";

/** Delay before all control daemons are queried again if none of them led. */
const roundIntervalMilliseconds = 100;
/** Timeout of a read request at one control daemon, after which the next one is queried. */
const readTimeoutMilliseconds = 1_000;

/** Channel for requests to one control daemon: to this process itself, or to another one over its link. */
export type ControlChannel = {
    readonly name: string;
    readonly send: (request: OperatorRequest, timeout: number) => Promise<Either<LinkFailure, ControlAnswer>>;
};

/** Finds the leader of the control daemons and forwards requests to it. If none leads, a read request is answered by a follower. */
export class LeaderOperations extends Operations {
    private lastLeader: string | undefined;

    private constructor(private readonly channels: readonly ControlChannel[], private readonly clock: Clock) {
        super();
    }

    static create(channels: readonly ControlChannel[], clock: Clock): LeaderOperations {
        return new LeaderOperations(channels, clock);
    }

    override async handle(request: OperatorRequest, timeout: number): Promise<OperatorAnswer> {
        const search = new LeaderSearch(request, this.clock.monotonic() + timeout);
        do {
            const answer = await this.tryAllChannels(search);
            if (answer !== undefined) {
                return answer;
            }
            if (search.fallbackAnswer !== undefined && !isChange(request)) {
                return search.fallbackAnswer;
            }
            await new Promise<void>(resolve => this.clock.after(roundIntervalMilliseconds, resolve));
        } while (this.clock.monotonic() < search.deadline);
        return search.failure();
    }

    private async tryAllChannels(search: LeaderSearch): Promise<OperatorAnswer | undefined> {
        const untriedChannels = new Map(this.channels.map(channel => [channel.name, channel]));
        let nextChannel = untriedChannels.get(this.lastLeader ?? "") ?? this.channels[0];
        while (nextChannel !== undefined) {
            untriedChannels.delete(nextChannel.name);
            const answer = await this.sendTo(nextChannel, search);
            const finalAnswer = search.handleReply(answer);
            if (finalAnswer !== undefined) {
                this.lastLeader = nextChannel.name;
                return finalAnswer;
            }
            nextChannel = untriedChannels.get(search.leaderHint ?? "") ?? [...untriedChannels.values()][0];
        }
        return undefined;
    }

    private sendTo(channel: ControlChannel, search: LeaderSearch): Promise<Either<LinkFailure, ControlAnswer>> {
        const remaining = Math.max(1, search.deadline - this.clock.monotonic());
        return channel.send(
            search.request,
            isChange(search.request) ? remaining : Math.min(remaining, readTimeoutMilliseconds),
        );
    }
}

/** State of the search for the leader that answers one request. */
class LeaderSearch {
    /** The leader according to the last control daemon that answered. */
    leaderHint: string | undefined;
    /** The first answer to a read request by a control daemon that doesn't lead. */
    fallbackAnswer: OperatorAnswer | undefined;
    private mayBeDelivered = false;
    private failureMessage = "no control daemon answered";

    constructor(readonly request: OperatorRequest, readonly deadline: number) {}

    handleReply(answer: Either<LinkFailure, ControlAnswer>): OperatorAnswer | undefined {
        return answer.caseOf({
            Left: failure => {
                this.mayBeDelivered ||= failure.kind === "lost" || failure.kind === "timeout";
                this.failureMessage = failure.message;
                return undefined;
            },
            Right: value => this.handleAnswer(value),
        });
    }

    // If an answer was lost, a quorum may have accepted the change. If it were reported as refused, an operator would send it
    // again as a new change.
    failure(): OperatorFailure {
        const isUndecided = this.mayBeDelivered && isChange(this.request);
        return {
            kind: "failure",
            code: isUndecided ? "undecided" : "unreachable",
            message: isUndecided
                ? `it isn't known whether the change was accepted (${this.failureMessage}); send the same change again`
                : `nothing was changed: ${this.failureMessage}`,
        };
    }

    private handleAnswer({ leading, leader, answer }: ControlAnswer): OperatorAnswer | undefined {
        if (answer.kind === "failure" && (answer.code === "notLeader" || answer.code === "undecided")) {
            // An undecided change is sent again; its identifier makes this idempotent.
            this.mayBeDelivered ||= answer.code === "undecided";
            this.leaderHint = leader;
            this.failureMessage = answer.message;
            return undefined;
        }
        if (!leading && !isChange(this.request)) {
            this.leaderHint = leader;
            this.fallbackAnswer ??= answer;
            return undefined;
        }
        return answer;
    }
}

function isChange(request: OperatorRequest): boolean {
    return request.kind === "apply" || request.kind === "drain";
}

/** Creates the channel to another control daemon over its link. */
export function createLinkChannel(name: string, link: Link): ControlChannel {
    return {
        name,
        send: async (request, timeout) => {
            const answer = await link.request({ kind: "operator", request }, timeout);
            return answer.map(value => parseControlAnswer(name, value));
        },
    };
}

function parseControlAnswer(name: string, value: unknown): ControlAnswer {
    const parsed = controlAnswerSchema.safeParse(value);
    return parsed.success ? parsed.data : {
        kind: "operator",
        leading: false,
        answer: { kind: "failure", code: "notLeader", message: `the answer of ${name} doesn't match the protocol` },
    };
}
