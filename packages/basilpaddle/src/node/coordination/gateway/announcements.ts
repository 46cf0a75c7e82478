import { type DepartureStage, type ServerAnnouncement } from "../../protocol/index.js";
import { departureRank, isLeaving, joinAnnouncements, withDeparture } from "./announcementOrder.js";
import { LatestIncarnations } from "./latestIncarnations.js";

/** Number of missed heartbeats after which a backend server counts as silent. */
const maxMissedHeartbeats = 3;
/**
 * The same limit for a backend server restored after a restart of this directory. It is lower because the server sends its
 * heartbeats to this or another directory as soon as one accepts connections again.
 */
const maxMissedHeartbeatsAfterRestore = 2;
/** How long a backend server that has left, or leaves and is silent, is kept; delayed messages about it arrive within this time. */
const departureRetentionMilliseconds = 60_000;

/**
 * Longest delay of a call of a backend server. A leave call that doesn't name the incarnation is that of one which has been known
 * for longer; and a heartbeat that arrives later than this after such a call was sent after it.
 */
export const maxCallDelayMilliseconds = 15_000;

type AnnouncementEntry = {
    announced: ServerAnnouncement;
    changeNumber: number;
    /** When its last heartbeat arrived here; undefined if none has. */
    heartbeatAt: number | undefined;
    /** The same by the clock by which silence is measured. */
    activeHeartbeatAt: number | undefined;
    /** When this directory learnt that it leaves, or may; undefined while it doesn't. */
    leavingSince: number | undefined;
    /** Restored after a restart, with no heartbeat received since. */
    restored: boolean;
};

/**
 * The announcements that one directory makes: of the backend servers that send it heartbeats, and of those that leave, whoever
 * they told. Changes are numbered, so that a gateway can request those that it lacks. A heartbeat without a change isn't forwarded:
 * it only renews the time until the server counts as silent.
 *
 * Silence alone is measured by `activeNow`, the time of a clock that stands still with this process; all else, such as how long ago a
 * server said that it leaves, by the host's.
 */
export class Announcements {
    private readonly entries = new Map<string, AnnouncementEntry>();
    private readonly incarnations = LatestIncarnations.create();
    private lastChangeNumber = 0;

    private constructor(private readonly heartbeat: number) {}

    /** `heartbeat`: milliseconds between two heartbeats of a backend server. */
    static create(heartbeat: number): Announcements {
        return new Announcements(heartbeat);
    }

    /** Applies a heartbeat; returns whether it has to be forwarded to gateways. */
    apply(announced: ServerAnnouncement, now: number, activeNow = now): boolean {
        if (!this.recordIncarnation(announced, now)) {
            return false;
        }
        const known = this.entries.get(announced.id);
        if (known?.announced.state === "left") {
            return false;
        }
        const isNewer = known === undefined || announced.sequence > known.announced.sequence;
        if (known !== undefined && !isNewer && departureRank(announced) <= departureRank(known.announced)) {
            // A delayed heartbeat is older than the known state.
            return false;
        }
        const heartbeat = this.refutesSuspicion(announced, known, now)
            ? withDeparture(announced, "refuted")
            : announced;
        const joined = joinAnnouncements(heartbeat, known?.announced ?? heartbeat);
        const mustForward = known === undefined || known.restored || differs(known.announced, joined);
        this.entries.set(announced.id, {
            announced: joined,
            changeNumber: mustForward ? this.nextChangeNumber() : known.changeNumber,
            heartbeatAt: isNewer ? now : known?.heartbeatAt,
            activeHeartbeatAt: isNewer ? activeNow : known?.activeHeartbeatAt,
            leavingSince: isLeaving(joined) ? known?.leavingSince ?? now : undefined,
            restored: false,
        });
        return mustForward;
    }

    /**
     * Restores an announcement from before a restart of this directory. Without it, after a power loss of all hosts no
     * backend server is known until its next heartbeat, more than a second later, and the first ones to send one receive
     * all requests; and gateways that start would send work to servers that have said that they leave.
     */
    restoreServer(announced: ServerAnnouncement, now: number, activeNow = now): void {
        const isDeparture = announced.state === "left" || isLeaving(announced);
        if (!this.incarnations.isOutdated(announced)) {
            this.incarnations.recordLatest(announced);
        }
        const missed = (maxMissedHeartbeats - maxMissedHeartbeatsAfterRestore) * this.heartbeat;
        this.entries.set(announced.id, {
            announced: joinAnnouncements(announced, announced),
            changeNumber: this.nextChangeNumber(),
            heartbeatAt: isDeparture ? undefined : now - missed,
            activeHeartbeatAt: isDeparture ? undefined : activeNow - missed,
            leavingSince: isDeparture ? now - (announced.leavingFor ?? 0) : undefined,
            restored: !isDeparture,
        });
    }

    /**
     * Applies an announcement from another directory. If the backend server sends its heartbeats there, the restored entry
     * here is removed; otherwise this directory would soon mark the server silent.
     */
    confirm(other: ServerAnnouncement): void {
        const known = this.entries.get(other.id);
        if (known?.restored === true && other.state !== "silent" && other.sequence > known.announced.sequence) {
            this.entries.delete(other.id);
        }
    }

    /**
     * Takes over from another directory how far a backend server's departure is known; returns whether that is a change. This
     * directory announces it as well from then on, so that the loss of the other one undoes nothing.
     */
    adoptDeparture(other: ServerAnnouncement, now: number): boolean {
        const rank = departureRank(other);
        const known = this.entries.get(other.id);
        if (rank <= (known === undefined ? 0 : departureRank(known.announced)) || !this.recordIncarnation(other, now)) {
            return false;
        }
        const stage = other.state === "left" ? "left" : other.departure ?? "announced";
        if (stage === "refuted" && known?.heartbeatAt === undefined) {
            // The directory that receives its heartbeats announces it.
            this.entries.delete(other.id);
            return false;
        }
        this.depart(known?.announced ?? other, stage, now - (other.leavingFor ?? 0));
        return true;
    }

    /**
     * Marks a backend server as left; returns whether that is a change. One that never sent a heartbeat here is recorded as
     * well: other directories may know it.
     */
    markLeft(id: string, now: number): boolean {
        const known = this.entries.get(id)?.announced;
        if (known?.state === "left") {
            return false;
        }
        const unknown: ServerAnnouncement = {
            id,
            service: "unknown",
            address: "",
            failureDomain: "",
            slots: 0,
            state: "left",
            sequence: 0,
        };
        this.depart(known ?? unknown, "left", now);
        return true;
    }

    /** Records how far it is known that a backend server leaves, and since when; a later stage that is known already stays. */
    depart(server: ServerAnnouncement, stage: DepartureStage | "left", since: number): void {
        const known = this.entries.get(server.id);
        const announced = withDeparture(joinAnnouncements(server, known?.announced ?? server), stage);
        const isDeparture = announced.state === "left" || isLeaving(announced);
        this.entries.set(server.id, {
            announced,
            changeNumber: this.nextChangeNumber(),
            heartbeatAt: known?.heartbeatAt,
            activeHeartbeatAt: known?.activeHeartbeatAt,
            leavingSince: isDeparture ? Math.min(known?.leavingSince ?? since, since) : undefined,
            restored: false,
        });
    }

    /** The announcement of an incarnation; undefined if this directory makes none. */
    get(id: string): ServerAnnouncement | undefined {
        return this.entries.get(id)?.announced;
    }

    /** Marks backend servers without a recent heartbeat as silent; returns those that were marked. */
    markSilent(now: number, activeNow = now): readonly string[] {
        const marked: string[] = [];
        for (const [id, known] of this.entries) {
            this.endDeparture(id, known, now);
            const { announced, activeHeartbeatAt } = known;
            const isSilent = activeHeartbeatAt !== undefined
                && activeNow - activeHeartbeatAt > maxMissedHeartbeats * this.heartbeat;
            if (isSilent && (announced.state === "ready" || announced.state === "draining")) {
                known.announced = { ...announced, state: "silent" };
                known.changeNumber = this.nextChangeNumber();
                marked.push(id);
            }
        }
        return marked;
    }

    /**
     * Checks the announcement of another directory that a backend server is silent; returns whether this directory has a
     * newer heartbeat and therefore announces the server again. A backend server that switched to this directory becomes
     * silent at the previous one. Here its heartbeats contain no change and aren't forwarded, so without this check all
     * gateways would consider it silent until its state changes, and a pool could appear to have no engine.
     */
    refutes(other: ServerAnnouncement): boolean {
        const known = this.entries.get(other.id);
        const isPresent = known !== undefined
            && (known.announced.state === "ready" || known.announced.state === "draining");
        if (other.state !== "silent" || !isPresent || known.announced.sequence <= other.sequence) {
            return false;
        }
        known.changeNumber = this.nextChangeNumber();
        return true;
    }

    /** Announcements that changed after the given change number; with the time, those of servers that leave tell for how long. */
    changedAfter(number: number, now?: number): readonly ServerAnnouncement[] {
        return [...this.entries.values()].filter(known => known.changeNumber > number).map(known =>
            withAge(known, now)
        );
    }

    /** Announcements to keep in the restart cache: all but those of silent backend servers that haven't said that they leave. */
    restartCacheEntries(now?: number): readonly ServerAnnouncement[] {
        const all = [...this.entries.values()].map(known => withAge(known, now));
        return all.filter(announced => announced.state !== "silent" || isLeaving(announced));
    }

    /** Number of the latest change. */
    latestChange(): number {
        return this.lastChangeNumber;
    }

    /** Records the newest incarnation of a name and ends the previous one; false if a newer incarnation is known. */
    private recordIncarnation(announced: ServerAnnouncement, now: number): boolean {
        if (this.incarnations.isOutdated(announced)) {
            return false;
        }
        const previousId = this.incarnations.recordLatest(announced);
        if (previousId !== undefined) {
            this.markLeft(previousId, now);
        }
        return true;
    }

    /** Whether a heartbeat proves that a leave call was that of the previous incarnation. */
    private refutesSuspicion(
        announced: ServerAnnouncement,
        known: AnnouncementEntry | undefined,
        now: number,
    ): boolean {
        return known?.announced.departure === "suspected" && announced.state === "ready"
            && now - (known.leavingSince ?? now) >= maxCallDelayMilliseconds;
    }

    /** Ends the retention of a departure: of a server that leaves and is silent it is then known that it has left. */
    private endDeparture(id: string, { announced, heartbeatAt, leavingSince }: AnnouncementEntry, now: number): void {
        const lastHeardOf = Math.max(leavingSince ?? now, heartbeatAt ?? Number.NEGATIVE_INFINITY);
        if (now - lastHeardOf <= departureRetentionMilliseconds) {
            return;
        }
        if (announced.state === "left") {
            this.entries.delete(id);
        }
        else {
            this.markLeft(id, now);
        }
    }

    private nextChangeNumber(): number {
        this.lastChangeNumber += 1;
        return this.lastChangeNumber;
    }
}

function withAge({ announced, leavingSince }: AnnouncementEntry, now: number | undefined): ServerAnnouncement {
    return now === undefined || leavingSince === undefined
        ? announced
        : { ...announced, leavingFor: Math.max(0, now - leavingSince) };
}

function differs(one: ServerAnnouncement, other: ServerAnnouncement): boolean {
    return one.state !== other.state
        || one.departure !== other.departure
        || one.stage !== other.stage
        || one.address !== other.address
        || one.service !== other.service
        || one.slots !== other.slots;
}
