import type { Incarnation } from "../../protocol/index.js";

/** Progress that an entry daemon reported in its last request, and the monotonic milliseconds at which it arrived. */
export type SessionHeartbeat = { readonly applied: number; readonly revision: number; readonly heardAt: number; };

/** Entry daemons and backend servers whose heartbeats a control daemon received and forwards to the leader. */
export type LivenessReport = {
    readonly sessions: { readonly session: Incarnation; readonly applied: number; readonly revision: number; }[];
    readonly renewals: { readonly id: string; readonly incarnation: number; }[];
};

/** Number of entries above which outdated ones are removed. */
const pruneThreshold = 1_024;

/**
 * Records when each entry daemon and backend server last sent a heartbeat. Every control daemon maintains it, not only the
 * leader, so that a new leader knows which daemons it can grant leases to.
 */
export class LivenessTable {
    private readonly sessions = new Map<string, SessionHeartbeat>();
    private readonly backends = new Map<string, number>();

    static create(): LivenessTable {
        return new LivenessTable();
    }

    /** Records a heartbeat of an entry daemon. Its progress never decreases, even if heartbeats arrive out of order. */
    recordSession(session: Incarnation, progress: Omit<SessionHeartbeat, "heardAt">, now: number): void {
        const key = sessionKey(session);
        const previous = this.sessions.get(key);
        this.sessions.set(key, {
            applied: Math.max(progress.applied, previous?.applied ?? 0),
            revision: Math.max(progress.revision, previous?.revision ?? 0),
            heardAt: now,
        });
    }

    /** Records that a backend server renewed its announcement with an entry daemon. */
    recordBackend(id: string, incarnation: number, now: number): void {
        this.backends.set(backendKey(id, incarnation), now);
    }

    /** The last heartbeat of an entry daemon's session. */
    session(session: Incarnation): SessionHeartbeat | undefined {
        return this.sessions.get(sessionKey(session));
    }

    /** Monotonic milliseconds of the backend server's last heartbeat. */
    backend(id: string, incarnation: number): number | undefined {
        return this.backends.get(backendKey(id, incarnation));
    }

    /** Entry daemons and backend servers with a heartbeat after the given time. */
    reportSince(since: number): LivenessReport {
        const sessions = [...this.sessions]
            .filter(([, heartbeat]) => heartbeat.heardAt > since)
            .map(([key, { applied, revision }]) => ({ session: sessionOf(key), applied, revision }));
        const renewals = [...this.backends]
            .filter(([, receivedAt]) => receivedAt > since)
            .map(([key]) => backendOf(key));
        return { sessions, renewals };
    }

    /**
     * Removes entries older than the given time if there are many. Each restart of a daemon or backend server adds a key.
     */
    prune(olderThan: number): void {
        if (this.sessions.size > pruneThreshold) {
            for (const [key, heartbeat] of this.sessions) {
                if (heartbeat.heardAt < olderThan) {
                    this.sessions.delete(key);
                }
            }
        }
        if (this.backends.size > pruneThreshold) {
            for (const [key, receivedAt] of this.backends) {
                if (receivedAt < olderThan) {
                    this.backends.delete(key);
                }
            }
        }
    }
}

/** Key of one incarnation of an entry daemon. */
export function sessionKey(session: Incarnation): string {
    return `${session.daemon}/${session.incarnation}`;
}

/** Key of one incarnation of a backend server. */
export function backendKey(id: string, incarnation: number): string {
    return `${id}/${incarnation}`;
}

function sessionOf(key: string): Incarnation {
    const separator = key.lastIndexOf("/");
    return { daemon: key.slice(0, separator), incarnation: key.slice(separator + 1) };
}

function backendOf(key: string): { id: string; incarnation: number; } {
    const separator = key.lastIndexOf("/");
    return { id: key.slice(0, separator), incarnation: Number(key.slice(separator + 1)) };
}
