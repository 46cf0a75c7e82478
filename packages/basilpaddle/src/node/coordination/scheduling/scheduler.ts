import type {
    Announcement,
    Decision,
    Demand,
    Holding,
    LoadReport,
    Organisation,
    Pool,
    Progress,
} from "../../protocol/index.js";

/** An engine of the pool as the view shows it. */
export type EngineEntry = {
    readonly announcement: Announcement;
    readonly state: "ready" | "draining" | "leaving" | "gone";
};

/** What the configuration says of a pool and of the organisations that use it. */
export type PoolRules = {
    readonly pool: Pool;
    readonly organisations: Readonly<Record<string, Organisation>>;
    readonly anyOrganisation: Organisation;
};

/** What a scheduler hears. */
export type SchedulerEvent =
    | { readonly kind: "demand"; readonly demand: Demand; }
    /** The caller or its daemon has gone: the demand leaves the queue, or what was reserved for it is freed. */
    | { readonly kind: "withdraw"; readonly attempt: string; }
    | { readonly kind: "progress"; readonly progress: Progress; }
    | { readonly kind: "load"; readonly report: LoadReport; }
    | { readonly kind: "engines"; readonly engines: readonly EngineEntry[]; }
    | { readonly kind: "rules"; readonly rules: PoolRules; }
    /** The daemons with an open session; what closed ones held is no longer theirs. */
    | {
        readonly kind: "sessions";
        readonly open: readonly { readonly daemon: string; readonly incarnation: string; }[];
    }
    /** What an entry daemon held before this scheduler took over. */
    | { readonly kind: "holding"; readonly holding: Holding; }
    /** Everything that could be learnt of the time before this scheduler is known. */
    | { readonly kind: "warm"; }
    /** Nothing was taken in for so long that others may have chosen without this scheduler: their word is on its way. */
    | { readonly kind: "stalled"; }
    | { readonly kind: "tick"; };

/** Decides which engines an attempt gets, and when. A pure step: it knows no sockets and sets no timers. */
export abstract class Scheduler {
    /** Takes in one event and gives the decisions that follow from it, for this demand or for waiting ones. */
    abstract step(event: SchedulerEvent, now: number): readonly Decision[];

    /**
     * The decode engine of a holding has proved that it has no free slot. Gives another one that the attempt holds from
     * now on, or nothing where none has a free slot.
     */
    abstract move(holding: Holding, now: number): string | undefined;

    /** When a tick is due, in monotonic milliseconds; undefined while nothing waits. */
    abstract wakeAt(): number | undefined;

    /** Slots held at each engine, by its identifier, and demands that wait. */
    abstract standing(): { readonly held: ReadonlyMap<string, number>; readonly waiting: number; };
}
