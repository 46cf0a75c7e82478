import {
    type Command,
    type CommandResult,
    type Declaration,
    declarationSchema,
    type View,
    type ViewStep,
} from "../../protocol/index.js";
import { encodeFrame } from "../../transport/index.js";
import { declarationDelta } from "./declarationDelta.js";

/** Maximum number of view steps buffered for followers that lag slightly. */
export const viewStepLimit = 1_024;
/** Maximum total size of the buffered view steps in bytes. */
export const viewStepLimitBytes = 8 * 1024 * 1024;
/** Size in bytes above which a step carries a delta in place of the whole declaration. */
const deltaThresholdBytes = 16 * 1024;

/** The last accepted declaration, the base of the next delta. */
type AcceptedDeclaration = { readonly revision: number; readonly declaration: Declaration; };
type BufferedStep = { readonly step: ViewStep; readonly bytes: number; };

/** Selects the steps after an index that a follower is missing, limited to `count` steps and `bytes` in total. */
export type StepQuery = { readonly after: number; readonly count: number; readonly bytes: number; };

/** Bounded buffer of the latest view steps. It isn't part of the replicated state and is empty after a snapshot is restored. */
export class ViewSteps {
    private buffered: BufferedStep[] = [];
    private bufferedBytes = 0;

    private constructor(private base: number, private accepted: AcceptedDeclaration) {}

    /** An empty buffer for the steps that follow the given view. */
    static create(view: View): ViewSteps {
        return new ViewSteps(view.index, view.configuration);
    }

    /** Appends the next step. */
    push(index: number, command: Command, result: CommandResult): void {
        const fullStep: ViewStep = { index, command: followerCommand(command, result) };
        const fullBytes = encodeFrame(fullStep).length;
        const step = fullBytes > deltaThresholdBytes ? this.withDelta(fullStep) : fullStep;
        const bytes = step === fullStep ? fullBytes : encodeFrame(step).length;
        this.recordAccepted(command, result);
        this.buffered.push({ step, bytes });
        this.bufferedBytes += bytes;
        if (this.buffered.length > viewStepLimit || this.bufferedBytes > viewStepLimitBytes) {
            this.dropOlderHalf();
        }
    }

    private recordAccepted(command: Command, result: CommandResult): void {
        // A resend gets its first result, `accepted`, again but changes nothing. If it counted, the next delta would be
        // based on a declaration that isn't in force any more, and followers' views would diverge from the ledger's.
        const isNew = result.kind === "accepted" && result.revision > this.accepted.revision;
        if (command.kind === "changeConfiguration" && isNew) {
            this.accepted = { revision: result.revision, declaration: command.change.declaration };
        }
    }

    private withDelta(whole: ViewStep): ViewStep {
        const { index, command } = whole;
        if (command.kind !== "changeConfiguration") {
            return whole;
        }
        const delta = declarationDelta(this.accepted.declaration, command.change.declaration);
        const change = { ...command.change, declaration: declarationSchema.parse({}) };
        return { index, command: { ...command, change }, delta };
    }

    /** The steps after the index, or undefined if some are no longer buffered or they exceed the query's limits. */
    missing(query: StepQuery): readonly ViewStep[] | undefined {
        if (query.after < this.base) {
            return undefined;
        }
        const missing = this.buffered.slice(this.positionAfter(query.after));
        const bytes = missing.reduce((sum, each) => sum + each.bytes, 0);
        if (missing.length > query.count || bytes > query.bytes) {
            return undefined;
        }
        return missing.map(kept => kept.step);
    }

    /** Drops the older half at once, since removing one at a time would copy the whole list for each step. */
    private dropOlderHalf(): void {
        const dropped = this.buffered.splice(0, Math.ceil(this.buffered.length / 2));
        this.base = dropped.at(-1)!.step.index;
        this.bufferedBytes -= dropped.reduce((sum, kept) => sum + kept.bytes, 0);
    }

    private positionAfter(index: number): number {
        let low = 0;
        let high = this.buffered.length;
        while (low < high) {
            const middle = (low + high) >> 1;
            if (this.buffered[middle]!.step.index <= index) {
                low = middle + 1;
            }
            else {
                high = middle;
            }
        }
        return low;
    }
}

/**
 * The command as followers get it: without the text of the files; a rejected change also without its declaration and
 * with a base that no revision reaches. A follower that joined from a view doesn't know the decided changes. It could
 * otherwise accept a resend of a rejected change, and its view would silently diverge from that of the control daemons.
 */
function followerCommand(command: Command, result: CommandResult): Command {
    if (command.kind !== "changeConfiguration") {
        return command;
    }
    const change = { ...command.change, files: [], note: "" };
    if (result.kind === "accepted" && result.revision === change.base + 1) {
        return { ...command, change };
    }
    return {
        ...command,
        change: { ...change, base: Number.MAX_SAFE_INTEGER, declaration: declarationSchema.parse({}) },
    };
}
