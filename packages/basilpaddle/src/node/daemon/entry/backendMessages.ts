import type { IncomingMessage, ServerResponse } from "node:http";
import { isDeepStrictEqual } from "node:util";
import type { ControlClient, Placement } from "../../coordination/index.js";
import type { AttemptIds, Cancellations, LeavingBackends } from "../../coordination/request/index.js";
import {
    type Announcement,
    type BackendAnswer,
    type BackendMessage,
    backendMessagePath,
    backendMessageSchema,
    type Command,
    type EntrySettings,
    type LoadReport,
    type Refusal,
} from "../../protocol/index.js";
import type { Clock, Logger } from "../../utils/index.js";
import type { BodyRoom } from "../listeners/index.js";
import { notRun, sendJson, sendRefusal } from "./reply.js";
import { parseJson, readBody } from "./requestBody.js";

const proposeTimeoutMilliseconds = 2_000;
const renewalsPerTimeout = 4;
/** Upper limit of the delay after which a message that wasn't accepted is sent again. */
const retryDelayMilliseconds = 250;

/** Settings and dependencies of the handler of backend servers' messages. */
export type BackendMessagesOptions = {
    readonly settings: EntrySettings;
    readonly control: ControlClient;
    readonly placement: Placement;
    readonly leavingBackends: LeavingBackends;
    readonly attempts: AttemptIds;
    readonly cancellations: Cancellations;
    readonly room: BodyRoom;
    readonly clock: Clock;
    readonly logger: Logger;
};

type AnswerOutcome = BackendAnswer["outcome"];

/** Handles the announcements, renewals and leave messages of backend servers. */
export class BackendMessages {
    private constructor(private readonly options: BackendMessagesOptions) {}

    static create(options: BackendMessagesOptions): BackendMessages {
        return new BackendMessages(options);
    }

    /** Handles one message received over HTTP. */
    async serve(requestId: string, request: IncomingMessage, response: ServerResponse): Promise<void> {
        if (request.url !== backendMessagePath) {
            sendRefusal(response, notRun("unknownRoute", `backend servers POST to ${backendMessagePath}`), requestId);
            return;
        }
        if (request.method !== "POST") {
            response.setHeader("allow", "POST");
            sendRefusal(response, notRun("methodNotAllowed", "POST is expected"), requestId);
            return;
        }
        const { settings: { limits }, clock, room } = this.options;
        const body = await readBody(request, response, { limits, clock, room });
        const parsed = body.chain(parseJson);
        if (parsed.isLeft()) {
            sendRefusal(response, parsed.extract() as Refusal, requestId);
            return;
        }
        const message = backendMessageSchema.safeParse(parsed.extract());
        if (!message.success) {
            const causes = message.error.issues.slice(0, 5).map(issue => `${issue.path.join(".")}: ${issue.message}`);
            sendRefusal(response, notRun("badRequest", causes.join("; ")), requestId);
            return;
        }
        const outcome = await this.handle(message.data);
        sendJson(response, 200, { outcome, renewAfter: this.renewAfterMilliseconds(outcome) } satisfies BackendAnswer);
    }

    /** Applies one message and returns its outcome. */
    async handle(message: BackendMessage): Promise<AnswerOutcome> {
        switch (message.kind) {
            case "announce": {
                const outcome = await this.announce(message.announcement);
                this.applyLoadReport(outcome, message.announcement, message.load);
                return outcome;
            }
            case "renew": {
                const outcome = this.renew(message.id, message.incarnation);
                this.applyLoadReport(outcome, this.backendRecord(message.id)?.announcement, message.load);
                return outcome;
            }
            case "leave":
                return this.leave(message.id, message.incarnation);
        }
    }

    private async announce(announcement: Announcement): Promise<AnswerOutcome> {
        const known = this.backendRecord(announcement.id);
        if (known !== undefined && known.announcement.incarnation > announcement.incarnation) {
            return "superseded";
        }
        if (known?.state === "leaving" && known.announcement.incarnation === announcement.incarnation) {
            return "superseded";
        }
        if (this.options.leavingBackends.isLeaving(announcement.id, announcement.incarnation)) {
            return "superseded";
        }
        if (known?.state === "ready" && isDeepStrictEqual(known.announcement, announcement)) {
            this.options.control.recordRenewal(announcement.id, announcement.incarnation);
            return "accepted";
        }
        return this.propose({ kind: "announceBackend", announcement, at: this.options.clock.wall() });
    }

    private renew(id: string, incarnation: number): AnswerOutcome {
        const known = this.backendRecord(id);
        if (known === undefined || known.announcement.incarnation < incarnation || known.state === "gone") {
            return "announceAgain";
        }
        if (known.announcement.incarnation > incarnation) {
            return "superseded";
        }
        this.options.control.recordRenewal(id, incarnation);
        return "accepted";
    }

    private leave(id: string, incarnation: number): Promise<AnswerOutcome> {
        this.options.leavingBackends.markLeaving(id, incarnation);
        return this.propose({
            kind: "markBackend",
            id,
            incarnation,
            mark: "leaving",
            by: id,
            at: this.options.clock.wall(),
        });
    }

    private async propose(command: Command): Promise<AnswerOutcome> {
        const proposed = await this.options.control.propose(command, proposeTimeoutMilliseconds);
        return proposed.caseOf<AnswerOutcome>({
            Left: () => "tryAgain",
            Right: result => result.kind === "stale" ? "superseded" : "accepted",
        });
    }

    private applyLoadReport(
        outcome: AnswerOutcome,
        backend: Announcement | undefined,
        report: LoadReport | undefined,
    ): void {
        if (outcome !== "accepted" || backend === undefined || report === undefined) {
            return;
        }
        this.options.placement.load(backend.pool, report);
        // The request that starts an attempt can reach the engine after the cancel for it; the engine then runs an attempt that
        // has already ended here.
        for (const attempt of this.options.attempts.ended(report.active)) {
            this.options.cancellations.cancelInBackground(attempt, backend, false);
        }
    }

    private backendRecord(id: string) {
        return this.options.control.view().backends[id];
    }

    private renewAfterMilliseconds(outcome: AnswerOutcome): number {
        const interval = Math.ceil(this.options.settings.timing.backendTimeout / renewalsPerTimeout);
        return outcome === "accepted" ? interval : Math.min(retryDelayMilliseconds, interval);
    }
}
