import type { Announced } from "../../protocol/index.js";
import { Lifetimes } from "./lifetimes.js";

/** Heartbeats that may be missed before a backend server counts as silent. */
const missedHeartbeats = 3;
/** Milliseconds for which one that has left is remembered; no word of it is under way for longer. */
const leftMemory = 60_000;

/**
 * Heartbeats that a backend server remembered from before a restart of this directory may miss: it sends them here or to
 * another directory as soon as one listens again.
 */
const recalledHeartbeats = 2;

type Heard = {
    announced: Announced;
    number: number;
    heardAt: number;
    /** Remembered from before a restart, and not heard of since. */
    recalled?: boolean;
};

/**
 * What one directory has heard from backend servers, numbered by change, so that a gateway can ask for what it lacks.
 * A heartbeat that says nothing new changes nothing and goes nowhere: it only puts off the silence.
 */
export class Announcements {
    private readonly heard = new Map<string, Heard>();
    private readonly lifetimes = Lifetimes.create();
    private last = 0;

    private constructor(private readonly heartbeat: number) {}

    /** `heartbeat`: milliseconds between two heartbeats of a backend server. */
    static create(heartbeat: number): Announcements {
        return new Announcements(heartbeat);
    }

    /** Takes a heartbeat; tells whether gateways have to hear of it. */
    take(announced: Announced, now: number): boolean {
        if (this.lifetimes.isOutdated(announced)) {
            return false;
        }
        const before = this.lifetimes.succeed(announced);
        if (before !== undefined) {
            this.leave(before, now);
        }
        const known = this.heard.get(announced.id);
        if (known !== undefined && known.announced.state === "left") {
            return false;
        }
        if (known !== undefined && announced.sequence <= known.announced.sequence) {
            // A heartbeat that was held up on its way says nothing of the present.
            return false;
        }
        if (known === undefined || known.recalled === true || differs(known.announced, announced)) {
            this.heard.set(announced.id, { announced, number: this.next(), heardAt: now });
            return true;
        }
        known.announced = announced;
        known.heardAt = now;
        return false;
    }

    /**
     * Takes over what was believed before a restart of this directory. After a loss of power everywhere nobody knows any
     * backend server until its next heartbeat, more than a second later, and the first ones heard of get the work of all.
     */
    recall(announced: Announced, now: number): void {
        const heardAt = now - (missedHeartbeats - recalledHeartbeats) * this.heartbeat;
        this.lifetimes.succeed(announced);
        this.heard.set(announced.id, { announced, number: this.next(), heardAt, recalled: true });
    }

    /** Takes what another directory says; what it hears itself needs no memory here, which would soon call it silent. */
    confirm(other: Announced): void {
        const known = this.heard.get(other.id);
        if (known?.recalled === true && other.state !== "silent" && other.sequence > known.announced.sequence) {
            this.heard.delete(other.id);
        }
    }

    /** Notes that a backend server leaves for good. One that was never heard here is noted too: others may know it. */
    leave(id: string, now: number): boolean {
        const known = this.heard.get(id);
        if (known?.announced.state === "left") {
            return false;
        }
        const announced: Announced = known === undefined
            ? { id, service: "unknown", address: "", failureDomain: "", slots: 0, state: "left", sequence: 0 }
            : { ...known.announced, state: "left" };
        this.heard.set(id, { announced, number: this.next(), heardAt: now });
        return true;
    }

    /**
     * Lets a backend server get no new work until its next heartbeat says otherwise: word came that it leaves which
     * doesn't tell of which incarnation, and may be one of the incarnation before that was held up.
     */
    drain(server: Announced, now: number): void {
        this.heard.set(server.id, { announced: { ...server, state: "draining" }, number: this.next(), heardAt: now });
    }

    /** Marks those that have been silent for too long; tells whether there are any. */
    markSilent(now: number): boolean {
        let marked = false;
        for (const [id, known] of this.heard) {
            const { state } = known.announced;
            if (state === "left" && now - known.heardAt > leftMemory) {
                this.heard.delete(id);
            }
            const silent = now - known.heardAt > missedHeartbeats * this.heartbeat;
            if (silent && (state === "ready" || state === "draining")) {
                known.announced = { ...known.announced, state: "silent" };
                known.number = this.next();
                marked = true;
            }
        }
        return marked;
    }

    /**
     * Takes what another directory says; tells whether it is refuted here and has to be said anew. A backend server that
     * moved on to this directory is silent at the one before. Its heartbeats say nothing new here and go nowhere, so that
     * everybody would believe the silence for as long as nothing else changes, and a pool would seem to have no engine.
     */
    refutes(other: Announced): boolean {
        const known = this.heard.get(other.id);
        const isHeard = known !== undefined
            && (known.announced.state === "ready" || known.announced.state === "draining");
        if (other.state !== "silent" || !isHeard || known.announced.sequence <= other.sequence) {
            return false;
        }
        known.number = this.next();
        return true;
    }

    /** What has changed after the number. */
    since(number: number): readonly Announced[] {
        return [...this.heard.values()].filter(known => known.number > number).map(known => known.announced);
    }

    /** What is worth remembering across a restart: backend servers that are there, as far as this directory hears them itself. */
    memorable(): readonly Announced[] {
        const all = [...this.heard.values()].map(({ announced }) => announced);
        return all.filter(({ state }) => state === "ready" || state === "draining");
    }

    /** Number of the newest change. */
    newest(): number {
        return this.last;
    }

    private next(): number {
        this.last += 1;
        return this.last;
    }
}

function differs(one: Announced, other: Announced): boolean {
    return one.state !== other.state
        || one.stage !== other.stage
        || one.address !== other.address
        || one.service !== other.service
        || one.slots !== other.slots;
}
