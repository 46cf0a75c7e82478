import type { CrashRecord, QuarantineRules } from "../../protocol/index.js";
import { CrashHistory, type KnownCrash } from "./crashHistory.js";
import { isPromptPartName } from "./promptPart.js";
import { type Culprits, Suspect } from "./suspect.js";

/** Number of crashes from which a request's record is shared with other daemons. */
const sharedCrashThreshold = 2;
/**
 * Factor by which each further crash lengthens the quarantine, and the maximum duration. Each time a quarantine ends, the
 * request may crash another server.
 */
const quarantineGrowthFactor = 4;
const maxQuarantineMilliseconds = 24 * 60 * 60_000;
/** Rounding error of a sum of fractions that should be 1. */
const weightTolerance = 1e-9;

/** One request, whichever daemon receives it and in whichever attempt. */
export class RequestSuspect extends Suspect {
    private readonly history = CrashHistory.create();

    private constructor(digest: string, private readonly rules: QuarantineRules) {
        super(digest);
    }

    static create(digest: string, rules: QuarantineRules): RequestSuspect {
        return new RequestSuspect(digest, rules);
    }

    override merge(record: CrashRecord, now: number): boolean {
        return this.history.merge(record, now);
    }

    /**
     * All crashes but those that are attributed to a part of prompts, and those of phases "late" and "whole" that are attributed to
     * another request.
     */
    override countedCrashes(culprits: Culprits): readonly KnownCrash[] {
        return this.history.activeCrashes().filter(({ server, phase }) => {
            const culprit = culprits.culpritOf(server);
            return culprit === undefined || culprit === this.digest
                || phase === "early" && !isPromptPartName(culprit);
        });
    }

    override isSuspected(culprits: Culprits): boolean {
        return this.countedCrashes(culprits).length > 0;
    }

    override quarantinedUntil(culprits: Culprits): number | undefined {
        const crashes = this.countedCrashes(culprits);
        return this.weight(crashes) + weightTolerance < 1
            ? undefined
            : Math.max(...crashes.map(({ at }) => at)) + this.quarantineDuration(crashes);
    }

    /**
     * The servers that ended early under the request if it is quarantined for these. Other requests that ran there and had already
     * returned output are victims; on an engine with twenty runs that is most of them.
     */
    override attributedServers(): readonly string[] {
        const early = this.history.activeCrashes().filter(({ phase }) => phase === "early");
        return early.length >= this.rules.earlyCrashes ? early.map(({ server }) => server) : [];
    }

    /**
     * A single crash isn't shared: an engine that crashes for another reason aborts dozens of runs, and hardly any of these
     * requests meets a second crash.
     */
    override isShared(): boolean {
        const { crashes, earlyCrashes } = this.rules;
        return this.history.peakCrashCount() >= Math.min(sharedCrashThreshold, crashes, earlyCrashes);
    }

    override changedAt(): number {
        return this.history.changedAt();
    }

    override toRecord(now: number): CrashRecord {
        return this.history.toRecord(this.digest, now);
    }

    /** Sum of the crashes, each as a fraction of its phase's limit; 1 is enough: two early ones count as much as five late ones. */
    private weight(crashes: readonly KnownCrash[]): number {
        const { crashes: whole, earlyCrashes: early, lateCrashes: late } = this.rules;
        const limits = { whole, early, late };
        return crashes.reduce((sum, { phase }) => sum + 1 / limits[phase], 0);
    }

    private quarantineDuration(crashes: readonly KnownCrash[]): number {
        const crashesBeyondLimit = Math.round(Math.max(0, this.weight(crashes) - 1) * this.rules.crashes);
        return Math.min(maxQuarantineMilliseconds, this.rules.firstHold * quarantineGrowthFactor ** crashesBeyondLimit);
    }
}
