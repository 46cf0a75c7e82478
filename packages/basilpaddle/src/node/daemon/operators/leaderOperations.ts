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

/** Pause between two rounds over all control daemons while none of them leads. */
const roundIntervalMilliseconds = 100;
/** Time that one control daemon gets for a read request before the next one is asked. */
const readTimeoutMilliseconds = 1_000;

/** Channel for requests to one control daemon: to this process itself, or to another one over its link. */
export type ControlChannel = {
    readonly name: string;
    readonly send: (request: OperatorRequest, timeout: number) => Promise<Either<LinkFailure, ControlAnswer>>;
};

/** Finds the leader of the control daemons and forwards the request to it. Read requests fall back to a follower's answer. */
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
        const untried = new Map(this.channels.map(channel => [channel.name, channel]));
        let next = untried.get(this.lastLeader ?? "") ?? this.channels[0];
        while (next !== undefined) {
            untried.delete(next.name);
            const answer = await this.sendTo(next, search);
            const final = search.handleReply(answer);
            if (final !== undefined) {
                this.lastLeader = next.name;
                return final;
            }
            next = untried.get(search.leaderHint ?? "") ?? [...untried.values()][0];
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
    private possiblyDelivered = false;
    private message = "no control daemon answered";

    constructor(readonly request: OperatorRequest, readonly deadline: number) {}

    handleReply(answer: Either<LinkFailure, ControlAnswer>): OperatorAnswer | undefined {
        return answer.caseOf({
            Left: failure => {
                this.possiblyDelivered ||= failure.kind === "lost" || failure.kind === "timeout";
                this.message = failure.message;
                return undefined;
            },
            Right: value => this.handleAnswer(value),
        });
    }

    // After a lost answer the change may have reached a quorum. Reporting it as refused would make an operator send it again
    // as a new change.
    failure(): OperatorFailure {
        const undecided = this.possiblyDelivered && isChange(this.request);
        return {
            kind: "failure",
            code: undecided ? "undecided" : "unreachable",
            message: undecided
                ? `it isn't known whether the change was accepted (${this.message}); send the same change again`
                : `nothing was changed: ${this.message}`,
        };
    }

    private handleAnswer({ leading, leader, answer }: ControlAnswer): OperatorAnswer | undefined {
        if (answer.kind === "failure" && (answer.code === "notLeader" || answer.code === "undecided")) {
            // An undecided change is sent again; its identifier makes this idempotent.
            this.possiblyDelivered ||= answer.code === "undecided";
            this.leaderHint = leader;
            this.message = answer.message;
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
        answer: { kind: "failure", code: "notLeader", message: `${name} gave an answer that can't be read` },
    };
}
