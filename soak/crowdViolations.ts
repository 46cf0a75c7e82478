import type { SoakRequest } from "./soakRequest.js";

/** Share that must be served while most connections come to one gateway, compared with other times. */
const minServedInCrowd = 0.75;

/** A span of time in milliseconds. */
export type TimeSpan = { readonly from: number; to: number; };

/**
 * Checks that requests are served while most of them come to one gateway nearly as often as at other times.
 * `noticeMilliseconds`: time from the start of a crowd for which its requests aren't compared.
 */
export function crowdViolations(
    compared: readonly SoakRequest[],
    crowds: readonly TimeSpan[],
    noticeMilliseconds: number,
): readonly string[] {
    const isInCrowd = ({ sentAt }: SoakRequest): boolean =>
        crowds.some(({ from, to }) => sentAt > from + noticeMilliseconds && sentAt < to);
    const crowded = compared.filter(isInCrowd);
    const others = compared.filter(request => !isInCrowd(request));
    const [servedInCrowd, servedElse] = [crowded.filter(isServed).length, others.filter(isServed).length];
    return servedInCrowd < minServedInCrowd * crowded.length * servedElse / Math.max(1, others.length)
        ? [`${servedInCrowd} of ${crowded.length}, ${servedElse} of ${others.length} at other times`]
        : [];
}

function isServed({ end }: SoakRequest): boolean {
    return end?.kind === "answered" && end.status === 200;
}
