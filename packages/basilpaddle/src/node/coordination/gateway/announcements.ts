import type { ServerAnnouncement } from "../../protocol/index.js";
import { LatestIncarnations } from "./latestIncarnations.js";

/** Number of missed heartbeats after which a backend server counts as silent. */
const maxMissedHeartbeats = 3;
/** How long a backend server that has left is kept; delayed messages about it arrive within this time. */
const leftRetentionMilliseconds = 60_000;

/**
 * The same limit for a backend server restored after a restart of this directory. It is lower because the server sends its
 * heartbeats to this or another directory as soon as one accepts connections again.
 */
const maxMissedHeartbeatsAfterRestore = 2;

type AnnouncementEntry = {
    announced: ServerAnnouncement;
    changeNumber: number;
    receivedAt: number;
    /** Restored after a restart, with no heartbeat received since. */
    restored?: boolean;
};

/**
 * The announcements that one directory received from backend servers. Changes are numbered, so that a gateway can request
 * those that it lacks. A heartbeat without a change isn't forwarded: it only renews the time until the server counts as
 * silent.
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
    apply(announced: ServerAnnouncement, now: number): boolean {
        if (this.incarnations.isOutdated(announced)) {
            return false;
        }
        const previousId = this.incarnations.recordLatest(announced);
        if (previousId !== undefined) {
            this.markLeft(previousId, now);
        }
        const known = this.entries.get(announced.id);
        if (known !== undefined && known.announced.state === "left") {
            return false;
        }
        if (known !== undefined && announced.sequence <= known.announced.sequence) {
            // A delayed heartbeat is older than the known state.
            return false;
        }
        if (known === undefined || known.restored === true || differs(known.announced, announced)) {
            this.entries.set(announced.id, { announced, changeNumber: this.nextChangeNumber(), receivedAt: now });
            return true;
        }
        known.announced = announced;
        known.receivedAt = now;
        return false;
    }

    /**
     * Restores an announcement from before a restart of this directory. Without it, after a power loss of all hosts no
     * backend server is known until its next heartbeat, more than a second later, and the first ones to send one receive
     * all requests.
     */
    restoreServer(announced: ServerAnnouncement, now: number): void {
        const receivedAt = now - (maxMissedHeartbeats - maxMissedHeartbeatsAfterRestore) * this.heartbeat;
        this.incarnations.recordLatest(announced);
        this.entries.set(announced.id, {
            announced,
            changeNumber: this.nextChangeNumber(),
            receivedAt,
            restored: true,
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
     * Marks a backend server as left; returns whether that is a change. One that never sent a heartbeat here is recorded as
     * well: other directories may know it.
     */
    markLeft(id: string, now: number): boolean {
        const known = this.entries.get(id);
        if (known?.announced.state === "left") {
            return false;
        }
        const announced: ServerAnnouncement = known === undefined
            ? { id, service: "unknown", address: "", failureDomain: "", slots: 0, state: "left", sequence: 0 }
            : { ...known.announced, state: "left" };
        this.entries.set(id, { announced, changeNumber: this.nextChangeNumber(), receivedAt: now });
        return true;
    }

    /**
     * Marks a backend server as draining until its next heartbeat. Used for a leave message that doesn't name the
     * incarnation: it may be a delayed message of the previous one.
     */
    drain(server: ServerAnnouncement, now: number): void {
        this.entries.set(server.id, {
            announced: { ...server, state: "draining" },
            changeNumber: this.nextChangeNumber(),
            receivedAt: now,
        });
    }

    /** Marks backend servers without a recent heartbeat as silent; returns those that were marked. */
    markSilent(now: number): readonly string[] {
        const marked: string[] = [];
        for (const [id, known] of this.entries) {
            const { state } = known.announced;
            if (state === "left" && now - known.receivedAt > leftRetentionMilliseconds) {
                this.entries.delete(id);
            }
            const silent = now - known.receivedAt > maxMissedHeartbeats * this.heartbeat;
            if (silent && (state === "ready" || state === "draining")) {
                known.announced = { ...known.announced, state: "silent" };
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

    /** Announcements that changed after the given change number. */
    changedAfter(number: number): readonly ServerAnnouncement[] {
        return [...this.entries.values()].filter(known => known.changeNumber > number).map(known => known.announced);
    }

    /** Announcements to keep in the restart cache: ready or draining backend servers that send this directory heartbeats. */
    restartCacheEntries(): readonly ServerAnnouncement[] {
        const all = [...this.entries.values()].map(({ announced }) => announced);
        return all.filter(({ state }) => state === "ready" || state === "draining");
    }

    /** Number of the latest change. */
    latestChange(): number {
        return this.lastChangeNumber;
    }

    private nextChangeNumber(): number {
        this.lastChangeNumber += 1;
        return this.lastChangeNumber;
    }
}

function differs(one: ServerAnnouncement, other: ServerAnnouncement): boolean {
    return one.state !== other.state
        || one.stage !== other.stage
        || one.address !== other.address
        || one.service !== other.service
        || one.slots !== other.slots;
}
