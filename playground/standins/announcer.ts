import { request } from "undici";
import {
    type Announcement,
    backendAnswerSchema,
    type BackendMessage,
    backendMessagePath,
    type LoadReport,
    SeededRandomness,
} from "../../packages/basilpaddle/src/node/index.js";
import { wait } from "./httpServer.js";

const retryDelayMilliseconds = 200;
const messageTimeoutMilliseconds = 2_000;
/** Milliseconds after which a leaving backend server stops retrying its leave message if no entry daemon processes it. */
const leaveTimeoutMilliseconds = 10_000;

/** The current announcement and load report of a backend server. */
export type AnnouncementSource = {
    readonly announcement: () => Announcement;
    readonly load: () => LoadReport | undefined;
};

/**
 * Sends the announcements, heartbeats and leave message of a backend server to entry daemons: one message at a time, each to a
 * random listener, as through a load balancer.
 */
export class Announcer {
    private readonly randomness: SeededRandomness;
    private readonly stopped = new AbortController();
    private changed = new AbortController();
    private isAnnounced = false;
    private running: Promise<void> = Promise.resolve();

    private constructor(
        private readonly listeners: readonly string[],
        private readonly source: AnnouncementSource,
        seed: number,
    ) {
        this.randomness = SeededRandomness.create(seed);
    }

    static create(listeners: readonly string[], source: AnnouncementSource, seed: number): Announcer {
        return new Announcer(listeners, source, seed);
    }

    start(): void {
        if (this.listeners.length > 0) {
            this.running = this.run();
        }
    }

    /** Sends the announcement again at once, since it has changed. */
    announceChange(): void {
        this.isAnnounced = false;
        this.changed.abort();
    }

    /** Stops the heartbeats, and sends the leave message until an entry daemon has processed it or the timeout has passed. */
    async leave(): Promise<void> {
        await this.stop();
        const { id, incarnation } = this.source.announcement();
        const deadline = performance.now() + leaveTimeoutMilliseconds;
        while (this.listeners.length > 0 && performance.now() < deadline) {
            const answer = await this.send({ kind: "leave", id, incarnation });
            if (answer !== undefined && answer.outcome !== "tryAgain") {
                return;
            }
            await wait(retryDelayMilliseconds);
        }
    }

    async stop(): Promise<void> {
        this.stopped.abort();
        this.changed.abort();
        await this.running;
    }

    private async run(): Promise<void> {
        while (!this.stopped.signal.aborted) {
            this.changed = new AbortController();
            const isAnnouncement = !this.isAnnounced;
            const answer = await this.send(isAnnouncement ? this.announcement() : this.heartbeat());
            if (answer?.outcome === "superseded") {
                return;
            }
            if (answer?.outcome === "announceAgain") {
                this.isAnnounced = false;
                continue;
            }
            if (answer?.outcome === "accepted" && isAnnouncement && !this.changed.signal.aborted) {
                this.isAnnounced = true;
            }
            const delay = answer === undefined ? retryDelayMilliseconds : answer.renewAfter;
            await wait(this.stopped.signal.aborted ? 0 : delay, this.changed.signal);
        }
    }

    private announcement(): BackendMessage {
        return { kind: "announce", announcement: this.source.announcement(), load: this.source.load() };
    }

    private heartbeat(): BackendMessage {
        const { id, incarnation } = this.source.announcement();
        return { kind: "renew", id, incarnation, load: this.source.load() };
    }

    private async send(message: BackendMessage) {
        const listener = this.listeners[this.randomness.integer(0, this.listeners.length - 1)]!;
        try {
            const answer = await request(`http://${listener}${backendMessagePath}`, {
                method: "POST",
                headers: { "content-type": "application/json" },
                body: JSON.stringify(message),
                signal: AbortSignal.timeout(messageTimeoutMilliseconds),
            });
            return backendAnswerSchema.parse(await answer.body.json());
        }
        catch {
            return undefined;
        }
    }
}
