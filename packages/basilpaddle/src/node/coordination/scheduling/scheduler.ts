import type {
    Announcement,
    EngineHolding,
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
    /** The caller or its daemon is gone: the request leaves the queue, or what was reserved for it is released. */
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
    /** Engines that an attempt holds without an assignment by this scheduler: from before it started, or placed locally. */
    | { readonly kind: "holding"; readonly holding: EngineHolding; }
    /** All that could be recovered about assignments made before this scheduler started has been applied. */
    | { readonly kind: "warm"; }
    /**
     * No event was processed for so long that other daemons may have placed requests locally; their messages are still
     * to be applied.
     */
    | { readonly kind: "stalled"; }
    | { readonly kind: "tick"; };

/**
 * Decides which engines an attempt gets, and when. Opens no sockets and sets no timers: state changes only through its
 * methods.
 */
export abstract class Scheduler {
    /** Applies one event and returns the resulting decisions, for its own request or for queued ones. */
    abstract step(event: SchedulerEvent, now: number): readonly SchedulingDecision[];

    /**
     * Called after the decode engine of a holding rejected the attempt as full. Returns another decode engine, which the
     * attempt holds from now on, or undefined if none has a free slot.
     */
    abstract move(holding: EngineHolding, now: number): string | undefined;

    /** Time of the next tick in monotonic milliseconds; undefined while none is needed. */
    abstract nextTickAt(): number | undefined;

    /** Slots held by engine identifier, and the number of queued requests. */
    abstract status(): { readonly held: ReadonlyMap<string, number>; readonly waiting: number; };
}
