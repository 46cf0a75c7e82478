import { findingsFromZodError, type PeerAnswer, type PeerRequest, peerRequestSchema } from "../../protocol/index.js";
import type { ControlCore } from "./core.js";
import { findingsText } from "./declarationCheck.js";
import { mergeLivenessMessage } from "./livenessRelay.js";
import type { ProposalAnswer, Proposals } from "./proposals.js";
import { answerConfirmView } from "./viewAnswers.js";

/** Answers the requests of other daemons. */
export class PeerService {
    private constructor(private readonly core: ControlCore, private readonly proposals: Proposals) {}

    static create(core: ControlCore, proposals: Proposals): PeerService {
        return new PeerService(core, proposals);
    }

    /** Answers one request. A request that doesn't match the schema is answered with a failure that gives the reasons. */
    async handle(body: unknown): Promise<PeerAnswer> {
        const request = peerRequestSchema.safeParse(body);
        if (!request.success) {
            return { kind: "failure", message: findingsText(findingsFromZodError("request", request.error)) };
        }
        return this.answer(request.data);
    }

    private async answer(request: PeerRequest): Promise<PeerAnswer> {
        switch (request.kind) {
            case "agreement":
                this.core.replica.receive(request.from, request.message);
                return { kind: "received" };
            case "confirmView": {
                const answer = answerConfirmView(this.core, request);
                this.proposals.recheckWaiting();
                return answer;
            }
            case "heard":
                mergeLivenessMessage(this.core, request);
                this.proposals.recheckWaiting();
                return { kind: "received" };
            case "propose":
                return toPeerAnswer(await this.proposals.propose(request.command));
            default:
                return { kind: "failure", message: `a control daemon doesn't handle requests of kind ${request.kind}` };
        }
    }
}

function toPeerAnswer(answer: ProposalAnswer): PeerAnswer {
    if (answer.kind === "findings") {
        return { kind: "failure", message: findingsText(answer.findings) };
    }
    return answer;
}
