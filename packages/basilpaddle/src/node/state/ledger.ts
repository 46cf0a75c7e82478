import {
    type Command,
    type CommandResult,
    type Incarnation,
    isViewCommand,
    type View,
    type ViewStep,
} from "../protocol/index.js";
import { type AuditEntry, auditEntry, type AuditQuery, AuditTrail } from "./audit.js";
import { History, type HistoryEntry } from "./history.js";
import { Invariant } from "./invariant.js";
import { decodeSnapshot, encodeSnapshot } from "./ledgerSnapshot.js";
import { defaultRunLimits, type RunLimits, Runs } from "./runs.js";
import { StateMachine } from "./stateMachine.js";
import { type StepQuery, ViewState, ViewSteps } from "./view/index.js";

/** The replicated state of the control daemons: the view, run records, audit trail and configuration history. */
export class Ledger extends StateMachine {
    private index = 0;
    private viewState = ViewState.create();
    private steps = ViewSteps.create(this.viewState.view());
    private runs: Runs;
    private audit = AuditTrail.create();
    private configurationHistory = History.create();
    private restoreCount = 0;

    private constructor(private readonly limits: RunLimits) {
        super();
        this.runs = Runs.create(limits);
    }

    static create(limits: RunLimits = defaultRunLimits): Ledger {
        return new Ledger(limits);
    }

    override apply(index: number, command: Command): CommandResult {
        Invariant.assert(index > this.index, `log index ${index} isn't above ${this.index}`);
        this.index = index;
        const { revision } = this.view().configuration;
        const result = isViewCommand(command) ? this.applyView(index, command) : this.applyRecord(index, command);
        const entry = auditEntry(index, command, result, revision);
        if (entry !== undefined) {
            this.audit.append(entry);
        }
        return result;
    }

    override snapshot(): Uint8Array {
        return encodeSnapshot({
            index: this.index,
            view: this.view(),
            decided: [...this.viewState.decidedChanges()],
            runs: [...this.runs.list()],
            audit: [...this.audit.list()],
            history: [...this.configurationHistory.list()],
        });
    }

    override restore(snapshot: Uint8Array): void {
        const content = decodeSnapshot(snapshot);
        Invariant.assert(
            content.index >= this.index,
            `a snapshot at log index ${content.index} is older than the state at ${this.index}`,
        );
        this.index = content.index;
        this.viewState = ViewState.fromSnapshot(content.view, content.decided);
        this.steps = ViewSteps.create(content.view);
        this.runs = Runs.create(this.limits, content.runs);
        this.audit = AuditTrail.create(content.audit);
        this.configurationHistory = History.create(content.history);
        this.restoreCount += 1;
    }

    /** Log index of the last applied command. */
    appliedIndex(): number {
        return this.index;
    }

    /** The view after the last applied command. */
    view(): View {
        return this.viewState.view();
    }

    /** The view steps that a follower is missing, or undefined if it needs the whole view. */
    missingSteps(wanted: StepQuery): readonly ViewStep[] | undefined {
        return this.steps.missing(wanted);
    }

    /** Audit trail entries that match the query, newest first. */
    auditPage(query: AuditQuery): readonly AuditEntry[] {
        return this.audit.page(query);
    }

    /** The accepted configurations, oldest first. */
    history(): readonly HistoryEntry[] {
        return this.configurationHistory.list();
    }

    /** The result that a change got when it was first applied, if it is still stored. */
    firstChangeResult(changeId: string): CommandResult | undefined {
        return this.viewState.firstChangeResult(changeId);
    }

    /** Number of run records, and total size of their stored answers in bytes. */
    runUsage(): ReturnType<Runs["usage"]> {
        return this.runs.usage();
    }

    /** Whether any run record has a `sinceIndex` at or below the log index. */
    hasRunsUpTo(index: number): boolean {
        return this.runs.hasUpTo(index);
    }

    /** How often the state was replaced by a snapshot. The commands that a snapshot covers weren't applied one by one. */
    restores(): number {
        return this.restoreCount;
    }

    private applyView(index: number, command: Command): CommandResult {
        const { revision } = this.view().configuration;
        const result = this.viewState.apply(index, command);
        this.steps.push(index, command, result);
        const changed = this.view().configuration.revision > revision;
        if (command.kind === "changeConfiguration" && changed) {
            this.configurationHistory.append(this.view().configuration.revision, index, command.at, command.change);
        }
        return result;
    }

    private applyRecord(index: number, command: Command): CommandResult {
        switch (command.kind) {
            case "startRun":
                return this.startRun(index, command);
            case "finishRun":
                return this.runs.finish(index, command);
            case "releaseRun":
                return this.runs.release(index, command);
            case "expireRuns":
                return this.runs.expire(index, command);
            case "recordOrder":
                return { kind: "done", index };
            case "storeDocument":
                return { kind: "stale", reason: "this group doesn't store documents" };
            default:
                throw new TypeError(`${command.kind} is a view command`);
        }
    }

    private startRun(index: number, command: Extract<Command, { kind: "startRun"; }>): CommandResult {
        const recordsBefore = this.runs.usage().records;
        const existedBefore = this.runs.has(command.key);
        const result = this.runs.start(index, command, owner => this.hasOpenSession(owner));
        const added = this.runs.usage().records - recordsBefore;
        Invariant.assert(
            added === (result.kind === "started" && !existedBefore ? 1 : 0),
            `${added} run records added by a startRun with result ${result.kind}`,
        );
        return result;
    }

    private hasOpenSession(owner: Incarnation): boolean {
        return this.view().sessions[owner.daemon]?.session.incarnation === owner.incarnation;
    }
}
