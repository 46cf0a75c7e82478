import type { Engine } from "../engine/engine.js";

/** Creates an engine client for a base URL. */
export type EngineClientFactory = (url: string) => Engine;

type Entry = { readonly engine: Engine; users: number; };

/** Reference-counted engine clients, one per engine URL. Unused clients are closed once the view doesn't list their URL. */
export class EngineClients {
    private readonly entries = new Map<string, Entry>();

    private constructor(private readonly factory: EngineClientFactory) {}

    static create(factory: EngineClientFactory): EngineClients {
        return new EngineClients(factory);
    }

    /** Returns the client for the URL, creating it if necessary, and counts one more user until the client is released. */
    acquireClient(url: string): Engine {
        let entry = this.entries.get(url);
        if (entry === undefined) {
            entry = { engine: this.factory(url), users: 0 };
            this.entries.set(url, entry);
        }
        entry.users++;
        return entry.engine;
    }

    /** Returns a client that has been acquired already. Throws if there is none for the URL. */
    clientFor(url: string): Engine {
        const entry = this.entries.get(url);
        if (entry === undefined) {
            throw new Error(`no client is open for engine ${url}: acquire it first`);
        }
        return entry.engine;
    }

    releaseClient(url: string): void {
        const entry = this.entries.get(url);
        if (entry !== undefined) {
            entry.users--;
        }
    }

    /** Closes the clients that have no users and whose URL isn't in the given set. */
    async closeUnused(urls: ReadonlySet<string>): Promise<void> {
        const closing: Promise<void>[] = [];
        for (const [url, entry] of this.entries) {
            if (!urls.has(url) && entry.users === 0) {
                this.entries.delete(url);
                closing.push(entry.engine.close());
            }
        }
        await Promise.all(closing);
    }

    async close(): Promise<void> {
        const openEntries = [...this.entries.values()];
        this.entries.clear();
        await Promise.all(openEntries.map(entry => entry.engine.close()));
    }
}
