import {
    type Crash,
    type CrashRecord,
    maxRecordedAnswers,
    maxRecordedCrashes,
    type QuarantineRules,
} from "../../protocol/index.js";
import type { KnownCrash } from "./crashHistory.js";
import { CrashLikelihood, type PartLikelihood } from "./crashLikelihood.js";
import { isPromptPartName } from "./promptPart.js";
import { type Culprits, Suspect } from "./suspect.js";

type PartCrash = KnownCrash & Pick<Crash, "request" | "share">;

/**
 * A part that several prompts share. Most crashes that a part is exposed to have another cause, and a part that all prompts share is
 * on every engine that crashes; so answers begun on it are recorded, too.
 */
export class PromptPartSuspect extends Suspect {
    private readonly crashes = new Map<string, PartCrash>();
    /** Time of each begun answer, by attempt. */
    private readonly begun = new Map<string, number>();
    private clearedAt = -Infinity;
    private lastChangeAt = -Infinity;
    private wasSuspected = false;
    private readonly likelihood: CrashLikelihood;

    private constructor(digest: string, { promptParts, firstHold }: QuarantineRules) {
        super(digest);
        this.likelihood = CrashLikelihood.create(promptParts, firstHold);
    }

    static create(digest: string, rules: QuarantineRules): PromptPartSuspect {
        return new PromptPartSuspect(digest, rules);
    }

    override merge({ crashes, begun = [], clearedAge }: CrashRecord, now: number): boolean {
        const isCleared = clearedAge !== undefined && this.clear(now - clearedAge);
        const newCrashes = crashes.filter(crash => this.addCrash(crash, now - crash.age));
        const newAnswers = begun.filter(({ attempt, age }) => this.addAnswer(attempt, now - age));
        const isChanged = isCleared || newCrashes.length + newAnswers.length > 0;
        this.lastChangeAt = isChanged ? now : this.lastChangeAt;
        return isChanged;
    }

    override countedCrashes(culprits: Culprits): readonly PartCrash[] {
        return [...this.crashes.values()].filter(({ server }) => {
            const culprit = culprits.culpritOf(server);
            return culprit === undefined || culprit === this.digest || !isPromptPartName(culprit);
        });
    }

    override isSuspected(culprits: Culprits): boolean {
        return this.evaluate(culprits).logRatio > 0;
    }

    override quarantinedUntil(culprits: Culprits): number | undefined {
        const { quarantineCount, quarantinedUntil } = this.evaluate(culprits);
        return quarantineCount === 0 ? undefined : quarantinedUntil;
    }

    override attributedServers(culprits: Culprits): readonly string[] {
        return this.evaluate(culprits).quarantineCount === 0
            ? []
            : this.countedCrashes(culprits).map(({ server }) => server);
    }

    /** Once it has been suspected, the others have to hear also of what speaks for it. */
    override isShared(culprits: Culprits): boolean {
        this.wasSuspected ||= this.isSuspected(culprits);
        return this.wasSuspected;
    }

    override changedAt(): number {
        return this.lastChangeAt;
    }

    override toRecord(now: number): CrashRecord {
        const crashes = [...this.crashes.values()].map(({ at, ...crash }) => ({ ...crash, age: now - at }));
        const begun = [...this.begun].map(([attempt, at]) => ({ attempt, age: Math.max(0, now - at) }));
        return {
            digest: this.digest,
            crashes,
            begun,
            ...Number.isFinite(this.clearedAt) ? { clearedAge: Math.max(0, now - this.clearedAt) } : {},
        };
    }

    /** The answers that were begun between older crashes may be forgotten, so that these don't count. */
    private evaluate(culprits: Culprits): PartLikelihood {
        const since = this.begun.size < maxRecordedAnswers ? -Infinity : Math.min(...this.begun.values());
        const crashes = this.countedCrashes(culprits).filter(({ at }) => at >= since);
        return this.likelihood.evaluate([
            ...crashes.map(crash => ({ kind: "crash", ...crash, request: crash.request, share: crash.share }) as const),
            ...[...this.begun.values()].map(at => ({ kind: "begun", at }) as const),
        ]);
    }

    private addCrash({ server, phase, request, share }: Crash, at: number): boolean {
        if (this.crashes.has(server) || at <= this.clearedAt) {
            return false;
        }
        this.crashes.set(server, { server, phase, at, request, share });
        return !removeOldest(this.crashes, maxRecordedCrashes, crash => crash.at).includes(server);
    }

    private addAnswer(attempt: string, at: number): boolean {
        if (this.begun.has(attempt) || at <= this.clearedAt) {
            return false;
        }
        this.begun.set(attempt, at);
        return !removeOldest(this.begun, maxRecordedAnswers, begunAt => begunAt).includes(attempt);
    }

    private clear(at: number): boolean {
        if (at <= this.clearedAt) {
            return false;
        }
        const cleared = [...this.crashes.values()].filter(crash => crash.at <= at);
        cleared.forEach(({ server }) => this.crashes.delete(server));
        this.clearedAt = at;
        return cleared.length > 0;
    }
}

/** Removes the oldest entries over the limit; returns their keys. */
function removeOldest<Value>(
    entries: Map<string, Value>,
    limit: number,
    timeOf: (entry: Value) => number,
): readonly string[] {
    const removed = [...entries]
        .sort(([, one], [, other]) => timeOf(one) - timeOf(other))
        .slice(0, Math.max(0, entries.size - limit))
        .map(([key]) => key);
    removed.forEach(key => entries.delete(key));
    return removed;
}
