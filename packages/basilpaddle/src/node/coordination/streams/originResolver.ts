import { type OriginQuery, type OriginReply, originReplySchema } from "../../protocol/index.js";
import type { Clock } from "../../utils/index.js";
import type { KnownDirectory } from "../gateway/index.js";
import type { KnownOrigin } from "./streamOrigins.js";

/** How long directories are waited for, and while too few are reached to agree. A caller that resumes a stream has been waiting since it broke off. */
const queryTimeoutMilliseconds = 300;
const unreachedTimeoutMilliseconds = 60;

/** Where the version that began a stream is known from. */
export type OriginSource =
    /** This gateway began it. */
    | "own"
    /** A directory was told of it. */
    | "directory"
    /** No other version has been served since the stream can have begun. */
    | "onlyVersion";

/** The version that began a stream, or why it isn't known. */
export type ResolvedOrigin =
    | { readonly kind: "known"; readonly source: OriginSource; } & KnownOrigin
    /** `isReported`: more than half of the directories have answered, so that asking again soon is unlikely to help. */
    | { readonly kind: "unknown"; readonly cause: string; readonly isReported: boolean; };

/**
 * Asks all directories where a stream began. Whoever knows it is believed: the version of a stream never changes. If none does, more
 * than half of them have to agree that the service had one version alone. Streams begin only at versions that more than half of the directories
 * knew shortly before: if it had begun at another one, some directory would be in both halves and name that version here.
 */
export async function resolveOrigin(
    directories: readonly KnownDirectory[],
    query: OriginQuery,
    clock: Clock,
): Promise<ResolvedOrigin> {
    const replies: OriginReply[] = [];
    const reachesMost = directories.filter(({ reached }) => reached).length * 2 > directories.length;
    const timeout = reachesMost ? queryTimeoutMilliseconds : unreachedTimeoutMilliseconds;
    return new Promise(resolve => {
        let pending = directories.length;
        const settle = (origin: ResolvedOrigin): void => {
            cancel();
            resolve(origin);
        };
        const review = (isLast: boolean): void => {
            const origin = conclude(replies, directories.length, isLast);
            if (origin !== undefined) {
                settle(origin);
            }
        };
        const cancel = clock.after(timeout, () => review(true));
        const ask = async ({ link }: KnownDirectory): Promise<void> => {
            const answer = await link.request(query, timeout);
            const reply = originReplySchema.safeParse(answer.toMaybe().extract()).data;
            replies.push(...reply === undefined ? [] : [reply]);
            pending -= 1;
            review(pending === 0);
        };
        directories.forEach(directory => void ask(directory));
        review(directories.length === 0);
    });
}

/** What the replies so far say together; undefined if further ones may say more. */
function conclude(
    replies: readonly OriginReply[],
    directoryCount: number,
    isLast: boolean,
): ResolvedOrigin | undefined {
    const found = replies.flatMap(reply => reply.found ?? [])
        .sort((one, other) => other.binding - one.binding)[0];
    if (found !== undefined) {
        return { kind: "known", source: "directory", ...found };
    }
    const complete = replies.filter(reply => reply.complete);
    const versions = [...new Set(replies.flatMap(reply => reply.versions))];
    const [onlyVersion] = versions;
    if (complete.length * 2 > directoryCount && versions.length === 1 && onlyVersion !== undefined) {
        return { kind: "known", source: "onlyVersion", version: onlyVersion, binding: 1, age: 0 };
    }
    if (!isLast) {
        return undefined;
    }
    const isReported = replies.length * 2 > directoryCount;
    const cause = isReported
        ? "no directory knows which version began the stream"
        : "too few directories answer to tell which version began the stream";
    return { kind: "unknown", cause, isReported };
}
