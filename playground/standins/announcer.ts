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

const retryAfter = 200;
const wordTimeout = 2_000;
/** How long a leaving backend server goes on telling that it leaves, where nobody listens. */
const leaveLimit = 10_000;

/** What a backend server tells. */
export type Told = { readonly announcement: () => Announcement; readonly load: () => LoadReport | undefined; };

/** Announces a backend server, one word at a time, through listeners chosen as a balancer does. */
export class Announcer {
    private readonly randomness: SeededRandomness;
    private readonly stopped = new AbortController();
    private changed = new AbortController();
    private announced = false;
    private running: Promise<void> = Promise.resolve();

    private constructor(private readonly listeners: readonly string[], private readonly told: Told, seed: number) {
        this.randomness = SeededRandomness.create(seed);
    }

    static create(listeners: readonly string[], told: Told, seed: number): Announcer {
        return new Announcer(listeners, told, seed);
    }

    start(): void {
        if (this.listeners.length > 0) {
            this.running = this.run();
        }
    }

    /** What is announced has changed; it is announced again at once. */
    change(): void {
        this.announced = false;
        this.changed.abort();
    }

    /** Tells that the backend server leaves, until somebody has heard it. */
    async leave(): Promise<void> {
        await this.stop();
        const { id, incarnation } = this.told.announcement();
        const until = performance.now() + leaveLimit;
        while (this.listeners.length > 0 && performance.now() < until) {
            const answer = await this.tell({ kind: "leave", id, incarnation });
            if (answer !== undefined && answer.outcome !== "tryAgain") {
                return;
            }
            await wait(retryAfter);
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
            const announcing = !this.announced;
            const answer = await this.tell(announcing ? this.announcement() : this.renewal());
            if (answer?.outcome === "superseded") {
                return;
            }
            if (answer?.outcome === "announceAgain") {
                this.announced = false;
                continue;
            }
            if (answer?.outcome === "accepted" && announcing && !this.changed.signal.aborted) {
                this.announced = true;
            }
            const waitsFor = answer === undefined ? retryAfter : answer.renewAfter;
            await wait(this.stopped.signal.aborted ? 0 : waitsFor, this.changed.signal);
        }
    }

    private announcement(): BackendMessage {
        return { kind: "announce", announcement: this.told.announcement(), load: this.told.load() };
    }

    private renewal(): BackendMessage {
        const { id, incarnation } = this.told.announcement();
        return { kind: "renew", id, incarnation, load: this.told.load() };
    }

    private async tell(word: BackendMessage) {
        const listener = this.listeners[this.randomness.integer(0, this.listeners.length - 1)]!;
        try {
            const answer = await request(`http://${listener}${backendMessagePath}`, {
                method: "POST",
                headers: { "content-type": "application/json" },
                body: JSON.stringify(word),
                signal: AbortSignal.timeout(wordTimeout),
            });
            return backendAnswerSchema.parse(await answer.body.json());
        }
        catch {
            return undefined;
        }
    }
}
