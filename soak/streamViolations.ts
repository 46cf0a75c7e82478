import { isAlwaysAdmitted } from "./organisations.js";
import type { SoakRequest, Violation } from "./soakRequest.js";

/** Share of the streams that callers resume without a fault nearby which have to continue, compared with new ones, except for so many. */
const minResumed = 0.9;
const resumedSlack = 2;

/**
 * Streams with events of two software versions, over all attempts of their callers; and whether too few resumed streams continue.
 * `isDisturbed`: whether an unplanned fault was active within a time span.
 */
export function streamViolations(
    requests: readonly SoakRequest[],
    isDisturbed: (from: number, to: number) => boolean,
): readonly Violation[] {
    const counted = requests.filter(({ kind, key, end, sentAt, endedAt }) => {
        return kind === "resumable" && isAlwaysAdmitted(key) && end?.kind !== "left" && !isDisturbed(sentAt, endedAt);
    });
    const resumed = counted.filter(({ resumes }) => resumes !== undefined);
    const begun = counted.filter(({ resumes }) => resumes === undefined);
    const servedShare = begun.length === 0 ? 1 : servedCount(begun) / begun.length;
    const doContinue = servedCount(resumed) >= minResumed * resumed.length * servedShare - resumedSlack;
    const what = `${servedCount(resumed)} of ${resumed.length}, ${servedCount(begun)} of ${begun.length} new ones`;
    return [...mixedStreams(requests), ...doContinue ? [] : [{ invariant: "resumed streams continue", what }]];
}

function mixedStreams(requests: readonly SoakRequest[]): readonly Violation[] {
    const versionsOf = new Map<string, Set<string>>();
    for (const { attempt, resumes, versions } of requests) {
        const stream = resumes?.firstAttempt ?? attempt;
        versionsOf.set(stream, new Set([...versionsOf.get(stream) ?? [], ...versions]));
    }
    return [...versionsOf].filter(([, versions]) => versions.size > 1).map(([stream, versions]) => {
        return { invariant: "one version", what: `${stream} holds events of ${[...versions].join(" and ")}` };
    });
}

function servedCount(requests: readonly SoakRequest[]): number {
    return requests.filter(({ end }) => end?.kind === "answered" && end.status === 200).length;
}
