import type { AwaitedAttempt, ObservedEngine, QuiescenceWait } from "./orderState.js";

/**
 * Number of consecutive rounds of readings without an attempt after which it counts as ended. Engines are read concurrently
 * but not at the same instant, so that one round can miss an attempt at both engines between its prefill and its import.
 */
const requiredMissedReadings = 2;

/**
 * The engine of each active attempt of a pool in one round of readings. Computed once per round for all waits of the
 * pool.
 */
export class PoolActivity {
    readonly engineByAttempt = new Map<string, string>();
    readonly unreadEngines = new Set<string>();

    private constructor(readonly engines: readonly ObservedEngine[]) {
        for (const { announcement, reading } of engines) {
            if (reading === undefined) {
                this.unreadEngines.add(announcement.id);
            }
            for (const attempt of reading?.state.active ?? []) {
                this.engineByAttempt.set(attempt, announcement.id);
            }
        }
    }

    static create(engines: readonly ObservedEngine[]): PoolActivity {
        return new PoolActivity(engines);
    }
}

/** Whether no attempt that started before the change of the view can still reach the engine. */
export function isQuiescent(wait: QuiescenceWait | undefined): boolean {
    return wait?.waitingFor?.length === 0;
}

/**
 * Advances the wait for attempts that may still use an engine after a change of the view made daemons stop selecting it.
 *
 * Once the change is older than `staleViewTime` milliseconds, no daemon starts an attempt based on an older view. Attempts
 * that started before are at the engine, or at a prefill engine of the pool before their transfer to the engine. They are
 * recorded once, and the wait ends when all of them have ended.
 */
export function advanceQuiescence(
    wait: QuiescenceWait | undefined,
    engine: ObservedEngine,
    activity: PoolActivity,
    now: number,
    staleViewTime: number,
): QuiescenceWait {
    if (wait === undefined) {
        return { firstSeenAt: now, waitingFor: undefined };
    }
    if (wait.waitingFor !== undefined) {
        return { ...wait, waitingFor: remainingAttempts(wait.waitingFor, activity) };
    }
    const relevantEngines = activity.engines.filter(other =>
        other.announcement.id === engine.announcement.id || other.announcement.role === "prefill"
    );
    const staleViewsExpireAt = wait.firstSeenAt + staleViewTime;
    const isEveryReadingRecent = relevantEngines.every(({ reading, state }) =>
        state === "gone" || reading !== undefined && reading.askedAt >= staleViewsExpireAt
    );
    return isEveryReadingRecent ? { ...wait, waitingFor: relevantEngines.flatMap(awaitedAttemptsAt) } : wait;
}

function awaitedAttemptsAt(engine: ObservedEngine): AwaitedAttempt[] {
    const { id } = engine.announcement;
    return (engine.reading?.state.active ?? []).map(attempt => ({ attempt, engine: id, missedReadings: 0 }));
}

function remainingAttempts(
    waitingFor: readonly AwaitedAttempt[],
    { engineByAttempt, unreadEngines }: PoolActivity,
): AwaitedAttempt[] {
    const remaining: AwaitedAttempt[] = [];
    for (const awaited of waitingFor) {
        const currentEngine = engineByAttempt.get(awaited.attempt);
        // Most attempts are still at the same engine. Their objects are reused, as there is one for each attempt and
        // unload.
        if (
            currentEngine === awaited.engine && awaited.missedReadings === 0
            || currentEngine === undefined && unreadEngines.has(awaited.engine)
        ) {
            remaining.push(awaited);
        }
        else if (currentEngine !== undefined) {
            remaining.push({ ...awaited, engine: currentEngine, missedReadings: 0 });
        }
        else if (awaited.missedReadings + 1 < requiredMissedReadings) {
            remaining.push({ ...awaited, missedReadings: awaited.missedReadings + 1 });
        }
    }
    return remaining;
}
