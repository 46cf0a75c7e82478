import type { Announcement } from "../../packages/basilpaddle/src/node/index.js";
import { Announcer } from "./announcer.js";
import { Faults } from "./faults.js";
import { type Call, HttpServer, respondWithJson, wait } from "./httpServer.js";
import { type FakeServiceSettings, fakeServiceSettingsSchema } from "./settings.js";

const drainPollMilliseconds = 20;

/**
 * A fake plain service. `GET …/status/<key>` is idempotent and returns how often the key was run; every POST adds one run of
 * its `idempotency-key`, so that a test can detect a call that ran twice.
 */
export class FakeService {
    readonly faults: Faults;
    /** Number of runs by key. */
    readonly runCounts = new Map<string, number>();
    private readonly announcer: Announcer;
    private readonly incarnation: number;
    private server!: HttpServer;
    private leaving = false;
    private openCalls = 0;

    private constructor(private readonly settings: FakeServiceSettings, private readonly onCrash: () => void) {
        this.incarnation = settings.incarnation ?? Date.now();
        this.faults = Faults.create(() => this.crash());
        const announcementSource = { announcement: () => this.announcement(), load: () => undefined };
        this.announcer = Announcer.create(settings.listeners, announcementSource, settings.seed);
    }

    /** Starts the service. `onCrash` is called when a fault crashes it. */
    static async create(settings: unknown, onCrash: () => void = () => {}): Promise<FakeService> {
        const service = new FakeService(fakeServiceSettingsSchema.parse(settings), onCrash);
        service.server = await HttpServer.create(service.settings.host, call => service.dispatch(call));
        service.announcer.start();
        return service;
    }

    get url(): string {
        return this.server.url;
    }

    /** Announces that it leaves, then refuses new calls and closes once no call is open any more. */
    async leave(): Promise<void> {
        await this.announcer.leave();
        this.leaving = true;
        while (this.openCalls > 0) {
            await wait(drainPollMilliseconds);
        }
        await this.close();
    }

    /** Closes at once and interrupts the open calls. */
    async close(): Promise<void> {
        this.server.destroy();
        await this.announcer.stop();
    }

    private crash(): void {
        void this.close();
        this.onCrash();
    }

    private async dispatch(call: Call): Promise<void> {
        if (call.path === "/fault") {
            this.faults.control(call);
            return;
        }
        if (call.path === "/test/runs") {
            respondWithJson(call.response, 200, Object.fromEntries(this.runCounts));
            return;
        }
        if (this.leaving) {
            respondWithJson(call.response, 503, { message: "leaving" });
            return;
        }
        this.openCalls += 1;
        await this.serve(call).finally(() => {
            this.openCalls -= 1;
        });
    }

    private async serve(call: Call): Promise<void> {
        if (call.method === "GET") {
            await this.sendStatus(call);
            return;
        }
        const isFaultInjected = this.faults.inject(call);
        if (isFaultInjected) {
            return;
        }
        const key = String(call.request.headers["idempotency-key"] ?? call.path);
        const runs = (this.runCounts.get(key) ?? 0) + 1;
        this.runCounts.set(key, runs);
        await wait(this.settings.callTime * this.faults.slowdownFactor());
        respondWithJson(call.response, 200, { service: this.settings.id, key, runs });
    }

    private async sendStatus(call: Call): Promise<void> {
        if (this.faults.inject(call)) {
            return;
        }
        await wait(this.settings.callTime * this.faults.slowdownFactor());
        const key = decodeURIComponent(call.path.split("/").at(-1)!);
        respondWithJson(call.response, 200, { service: this.settings.id, key, runs: this.runCounts.get(key) ?? 0 });
    }

    private announcement(): Announcement {
        const { id, failureDomain, service } = this.settings;
        return {
            id,
            incarnation: this.incarnation,
            url: this.url,
            failureDomain,
            role: "service",
            pool: service,
            models: [],
            slots: 1,
            abilities: {
                checksFence: false,
                resume: false,
                cancel: false,
                transfer: false,
                priorities: false,
                changesRole: false,
            },
        };
    }
}
