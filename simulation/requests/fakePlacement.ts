import { Placement } from "../../packages/basilpaddle/src/node/coordination/index.js";
import type {
    EngineAllocation,
    LoadReport,
    Progress,
    SchedulingDecision,
    SchedulingRequest,
} from "../../packages/basilpaddle/src/node/protocol/index.js";
import type { FakeEngine } from "./fakes.js";

/** A fake placement that assigns the first engines not listed in `avoid`, and records reservations and reports. */
export class FakePlacement extends Placement {
    readonly reserved = new Map<string, SchedulingRequest>();
    readonly schedulingRequests: SchedulingRequest[] = [];
    readonly progressReports: Progress[] = [];
    readonly loads: LoadReport[] = [];
    /** Decode engines that callers reported as full. */
    readonly reportedFull: string[] = [];
    /** Decode engine that replaces a full one; undefined if there is no other. */
    replacementDecode: string | undefined;
    /** Returned in place of an assignment. */
    refusal: SchedulingDecision | undefined;
    /** Awaited before each decision. */
    queue: (signal: AbortSignal) => Promise<void> = () => Promise.resolve();

    constructor(private readonly engines: readonly FakeEngine[]) {
        super();
    }

    override async reserve(request: SchedulingRequest, signal: AbortSignal): Promise<SchedulingDecision> {
        const { attempt } = request;
        this.schedulingRequests.push(request);
        await this.queue(signal);
        const refused = (code: "noBackend" | "callerGone"): SchedulingDecision => ({
            kind: "refused",
            attempt,
            refusal: { code, outcome: "notRun", message: code },
        });
        if (signal.aborted) {
            return refused("callerGone");
        }
        const firstAvailable = (role: string) =>
            this.engines.find(({ announcement: { id, role: own } }) => own === role && !request.avoid.includes(id));
        const prefill = firstAvailable("prefill")?.announcement.id;
        const decode = firstAvailable("decode")?.announcement.id;
        if (this.refusal !== undefined || prefill === undefined || decode === undefined) {
            return this.refusal ?? refused("noBackend");
        }
        this.reserved.set(attempt, request);
        return { kind: "assigned", attempt, prefill, decode, fence: 1, expectedReuse: 0 };
    }

    override move(assignment: EngineAllocation): Promise<string | undefined> {
        this.reportedFull.push(assignment.decode);
        return Promise.resolve(this.replacementDecode);
    }

    override progress(_pool: string, progress: Progress): void {
        this.progressReports.push(progress);
        if (["finished", "cancelled", "failed"].includes(progress.stage)) {
            this.reserved.delete(progress.attempt);
        }
    }

    override load(_pool: string, report: LoadReport): void {
        this.loads.push(report);
    }

    override close(): Promise<void> {
        return Promise.resolve();
    }
}
