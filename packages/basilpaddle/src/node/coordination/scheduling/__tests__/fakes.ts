import { Left, Right } from "purify-ts";
import { ManualClock } from "../../../../../../../simulation/manualClock.js";
import {
    declarationSchema,
    type Incarnation,
    type LoadReport,
    type PeerAnswer,
    type PeerRequest,
    schedulerLease,
    type View,
} from "../../../protocol/index.js";
import { Link, Network } from "../../../transport/index.js";
import { createSilentLogger, SeededRandomness } from "../../../utils/index.js";
import { ControlClient } from "../../controlClient.js";
import type { Engine } from "../../engine/engine.js";
import { ScheduledPlacement } from "../scheduledPlacement.js";
import type { EngineEntry } from "../scheduler.js";

class TestControl extends ControlClient {
    confirmed = true;
    private readonly listeners = new Set<(view: View) => void>();

    constructor(private readonly own: Incarnation, private currentView: View) {
        super();
    }

    override session(): Incarnation {
        return this.own;
    }

    override view(): View {
        return this.currentView;
    }

    override mayStart(): boolean {
        return this.confirmed;
    }

    override onView(listener: (view: View) => void): () => void {
        this.listeners.add(listener);
        return () => this.listeners.delete(listener);
    }

    override async propose(): Promise<never> {
        throw new Error("propose is not supported in this test");
    }

    override recordRenewal(): void {}

    override async close(): Promise<void> {}

    publish(view: View): void {
        this.currentView = view;
        this.listeners.forEach(listener => listener(view));
    }
}

/** Entry daemons with their placements, connected by links that can be partitioned. */
export class TestDaemons {
    readonly clock = new ManualClock(1_000);
    readonly placements = new Map<string, ScheduledPlacement>();
    readonly controls = new Map<string, TestControl>();
    /** Daemons that no link reaches; a request to them times out. */
    readonly partitioned = new Set<string>();
    readonly connections = new Map<string, AbortController>();
    readonly cancelledAttempts: string[] = [];
    /** Load reports that engines return when queried, by address. */
    readonly loadReports = new Map<string, LoadReport>();

    constructor(names: readonly string[], private view: View) {
        names.forEach((name, position) => this.start(name, position + 1));
    }

    placement(name: string): ScheduledPlacement {
        return this.placements.get(name)!;
    }

    /** Changes the view of every daemon that isn't partitioned. */
    change(change: (view: View) => View): void {
        this.view = { ...change(this.view), index: this.view.index + 1 };
        for (const [name, control] of this.controls) {
            if (!this.partitioned.has(name)) {
                control.publish(this.view);
            }
        }
    }

    grantLease(pool: string, daemon: string): void {
        const leases = { [schedulerLease(pool)]: { holder: incarnation(daemon), fence: this.view.index + 1 } };
        this.change(view => ({ ...view, leases }));
    }

    /** Ends a daemon's process: its connections break, and no later message of it is delivered. */
    kill(name: string): void {
        this.partitioned.add(name);
        void this.placements.get(name)?.close();
        this.placements.delete(name);
        this.connections.get(name)?.abort();
    }

    closeSession(name: string): void {
        this.change(view => ({
            ...view,
            sessions: Object.fromEntries(Object.entries(view.sessions).filter(([daemon]) => daemon !== name)),
        }));
    }

    async close(): Promise<void> {
        await Promise.all([...this.placements.values()].map(placement => placement.close()));
    }

    private start(name: string, seed: number): void {
        const control = new TestControl(incarnation(name), this.view);
        this.controls.set(name, control);
        const connection = new AbortController();
        this.connections.set(name, connection);
        this.placements.set(
            name,
            ScheduledPlacement.create({
                control,
                network: new TestNetwork(this, name),
                engineAt: url => this.engine(url),
                viewLease: 3_000,
                clock: this.clock,
                randomness: SeededRandomness.create(seed),
                logger: createSilentLogger(),
            }),
        );
    }

    private engine(url: string): Engine {
        return {
            load: async () => {
                const report = this.loadReports.get(url);
                return report === undefined
                    ? Left({ kind: "unknown", code: undefined, message: "silent" })
                    : Right(report);
            },
            cancel: async (attempt: string) => {
                this.cancelledAttempts.push(attempt);
                return Right({ released: true });
            },
            close: async () => {},
        } as unknown as Engine;
    }
}

class TestNetwork extends Network {
    constructor(private readonly daemons: TestDaemons, private readonly sender: string) {
        super();
    }

    override link(address: { readonly host: string; }): Link {
        return new TestLink(this.daemons, this.sender, address.host);
    }
}

class TestLink extends Link {
    constructor(
        private readonly daemons: TestDaemons,
        private readonly sender: string,
        private readonly receiver: string,
    ) {
        super();
    }

    override request(body: unknown, timeout: number): ReturnType<Link["request"]> {
        return new Promise(resolve => {
            const cancel = this.daemons.clock.after(
                timeout,
                () => resolve(Left({ kind: "timeout", message: "silent" })),
            );
            const answered = this.deliver(body);
            void answered?.then(answer => {
                if (!this.isPartitioned()) {
                    cancel();
                    resolve(Right(answer));
                }
            });
        });
    }

    override send(body: unknown): void {
        void this.deliver(body);
    }

    override close(): void {}

    private isPartitioned(): boolean {
        return this.daemons.partitioned.has(this.sender) || this.daemons.partitioned.has(this.receiver);
    }

    private deliver(body: unknown): Promise<PeerAnswer | undefined> | undefined {
        const target = this.daemons.placements.get(this.receiver);
        if (target === undefined || this.isPartitioned()) {
            return undefined;
        }
        return target.handlePeer(body as PeerRequest, {
            disconnected: this.daemons.connections.get(this.sender)!.signal,
        });
    }
}

/** The incarnation `i1` of a daemon. */
export function incarnation(daemon: string): Incarnation {
    return { daemon, incarnation: "i1" };
}

/** A view with the daemons' sessions, one pool `drafts`, its engines, and no lease. */
export function sampleView(daemons: readonly string[], engines: readonly EngineEntry[]): View {
    return {
        index: 10,
        configuration: {
            revision: 1,
            changeId: "c1",
            operator: "operator",
            declaration: declarationSchema.parse({
                pools: { drafts: { models: [{ name: "draft", version: "v1" }], copies: { prefill: 1, decode: 1 } } },
            }),
        },
        sessions: Object.fromEntries(daemons.map(daemon => [
            daemon,
            { session: incarnation(daemon), failureDomain: "hall-a", peers: { host: daemon, port: 1 } },
        ])),
        leases: {},
        backends: Object.fromEntries(engines.map(entry => [entry.announcement.id, entry])),
    };
}
