import { type Call, HttpServer, respondWithJson, wait } from "./httpServer.js";
import { type FakeWeightStoreSettings, fakeWeightStoreSettingsSchema } from "./settings.js";

/** A fake weight store: `GET /weights/<model>/<version>?bytes=N` takes as long as N bytes at the rate that all loads share. */
export class FakeWeightStore {
    /** Number of loads in progress, the highest number in progress at once, and the number started so far. */
    readonly loads = { current: 0, most: 0, total: 0 };
    private linkBusyUntil = 0;
    private server!: HttpServer;

    private constructor(private readonly settings: FakeWeightStoreSettings) {}

    static async create(settings: unknown = {}): Promise<FakeWeightStore> {
        const store = new FakeWeightStore(fakeWeightStoreSettingsSchema.parse(settings));
        store.server = await HttpServer.create(store.settings.host, call => store.dispatch(call));
        return store;
    }

    get url(): string {
        return this.server.url;
    }

    /** Closes at once, without draining. */
    async leave(): Promise<void> {
        await this.close();
    }

    close(): Promise<void> {
        this.server.destroy();
        return Promise.resolve();
    }

    private async dispatch(call: Call): Promise<void> {
        const { pathname, searchParams } = new URL(call.path, this.url);
        if (pathname === "/test/loads") {
            respondWithJson(call.response, 200, this.loads);
            return;
        }
        if (!pathname.startsWith("/weights/")) {
            respondWithJson(call.response, 404, { message: `no such path: ${pathname}` });
            return;
        }
        this.countStart();
        const now = performance.now();
        const bytes = Number(searchParams.get("bytes") ?? 0);
        this.linkBusyUntil = Math.max(now, this.linkBusyUntil) + bytes / this.settings.rate * 1_000;
        await wait(this.linkBusyUntil - now);
        this.loads.current -= 1;
        respondWithJson(call.response, 200, { bytes });
    }

    private countStart(): void {
        this.loads.total += 1;
        this.loads.current += 1;
        this.loads.most = Math.max(this.loads.most, this.loads.current);
    }
}
