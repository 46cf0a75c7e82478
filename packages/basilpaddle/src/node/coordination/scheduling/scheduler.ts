import type {
    Announcement,
    EngineAllocation,
    LoadReport,
    Organisation,
    Pool,
    Progress,
    SchedulingDecision,
    SchedulingRequest,
} from "../../protocol/index.js";

/** An engine of the pool as listed in the view. */
export type EngineEntry = {
    readonly announcement: Announcement;
    readonly state: "ready" | "draining" | "leaving" | "gone";
};

/** The configuration of a pool and of the organisations that use it. */
export type PoolRules = {
    readonly pool: Pool;
    readonly organisations: Readonly<Record<string, Organisation>>;
    readonly anyOrganisation: Organisation;
};

/** Input of a scheduler. */
export type SchedulerEvent =
    | { readonly kind: "demand"; readonly demand: SchedulingRequest; }
    /** The caller disconnected or its daemon ended: the request is removed from the queue, or its engines are released. */
    | { readonly kind: "withdraw"; readonly attempt: string; }
    | { readonly kind: "progress"; readonly progress: Progress; }
    | { readonly kind: "load"; readonly report: LoadReport; }
    | { readonly kind: "engines"; readonly engines: readonly EngineEntry[]; }
    | { readonly kind: "rules"; readonly rules: PoolRules; }
    /** The daemons with an open session; requests and assignments of all others are dropped. */
    | {
        readonly kind: "sessions";
        readonly open: readonly { readonly daemon: string; readonly incarnation: string; }[];
    }
    /** Engines allocated to an attempt, but not by this scheduler: by an earlier scheduler or by a local placement. */
    | { readonly kind: "holding"; readonly holding: EngineAllocation; }
    /** All available information about assignments made before this scheduler started has been applied. */
    | { readonly kind: "warm"; }
    /**
     * No event was processed for so long that other daemons may have placed requests locally. Their messages about it may
     * not be applied yet.
     */
    | { readonly kind: "stalled"; }
    | { readonly kind: "tick"; };

/**
 * Decides which engines an attempt gets, and when. Opens no sockets and sets no timers: state changes only through its
 * methods.
 */
export abstract class Scheduler {
    /** Applies one event and returns the resulting decisions, for the event's request or for queued ones. */
    abstract step(event: SchedulerEvent, now: number): readonly SchedulingDecision[];

    /**
     * Called after the decode engine of an allocation rejected the attempt because it was full. Allocates and returns another
     * decode engine, or returns undefined if none has a free slot.
     */
    abstract move(allocation: EngineAllocation, now: number): string | undefined;

    /** Time of the next tick in monotonic milliseconds; undefined while none is needed. */
    abstract nextTickAt(): number | undefined;

    /** Number of allocated slots by engine identifier, and number of queued requests. */
    abstract status(): { readonly allocatedSlots: ReadonlyMap<string, number>; readonly queuedCount: number; };
}
