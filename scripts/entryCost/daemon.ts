import { type Either, Right } from "purify-ts";
import { QuarantinedRequests } from "../../packages/basilpaddle/src/node/coordination/index.js";
import { EntryDaemon } from "../../packages/basilpaddle/src/node/daemon/entry/index.js";
import { ConnectionGuard } from "../../packages/basilpaddle/src/node/daemon/listeners/index.js";
import {
    announcementSchema,
    type CommandResult,
    ControlClient,
    createSilentLogger,
    entrySettingsSchema,
    HttpEngine,
    Placement,
    type SchedulingDecision,
    type SchedulingRequest,
    SilentMetrics,
    SystemClock,
    SystemRandomness,
    type View,
    viewSchema,
} from "../../packages/basilpaddle/src/node/index.js";
import { connectionBoundsSchema, quarantineRulesSchema } from "../../packages/basilpaddle/src/node/protocol/index.js";

// Runs one entry daemon with a fixed view and two engines that are always free, so that only the request path is measured.
// The first argument is the base URL of the prefill engine, the second that of the decode engine.
const [prefillUrl, decodeUrl] = process.argv.slice(2) as [string, string];

class FixedControl extends ControlClient {
    private readonly fixedView = viewSchema.parse({
        index: 1,
        configuration: {
            revision: 1,
            changeId: "c",
            operator: "o",
            declaration: {
                pools: { drafting: { models: [{ name: "draft", version: "1" }], copies: { prefill: 1, decode: 1 } } },
            },
        },
        sessions: {},
        leases: {},
        backends: { p: createBackend("p", "prefill", prefillUrl), d: createBackend("d", "decode", decodeUrl) },
    });

    override session() {
        return { daemon: "entry-1", incarnation: "first" };
    }

    override view(): View {
        return this.fixedView;
    }

    override mayStart(): boolean {
        return true;
    }

    override onView(): () => void {
        return () => undefined;
    }

    override propose(): Promise<Either<never, CommandResult>> {
        return Promise.resolve(Right({ kind: "done", index: 1 }));
    }

    override recordRenewal(): void {}

    override close(): Promise<void> {
        return Promise.resolve();
    }
}

class FixedPlacement extends Placement {
    override reserve({ attempt }: SchedulingRequest): Promise<SchedulingDecision> {
        return Promise.resolve({ kind: "assigned", attempt, prefill: "p", decode: "d", fence: 1, expectedReuse: 0 });
    }

    override move(): Promise<undefined> {
        return Promise.resolve(undefined);
    }

    override progress(): void {}

    override load(): void {}

    override close(): Promise<void> {
        return Promise.resolve();
    }
}

function createBackend(id: string, role: string, url: string) {
    const announcement = announcementSchema.parse({
        id,
        incarnation: 1,
        url,
        failureDomain: "local",
        role,
        pool: "drafting",
        slots: 1_000,
        abilities: { resume: true },
    });
    return { announcement, state: "ready" };
}

const anyPort = { host: "127.0.0.1", port: 0 };
const daemon = await EntryDaemon.create({
    settings: entrySettingsSchema.parse({
        role: "entry",
        name: "entry-1",
        failureDomain: "local",
        operators: anyPort,
        peers: anyPort,
        callers: anyPort,
        backends: anyPort,
        controls: [{ name: "control-1", host: "127.0.0.1", port: 1 }],
    }),
    control: new FixedControl(),
    placement: new FixedPlacement(),
    quarantinedRequests: QuarantinedRequests.create({
        rules: quarantineRulesSchema.parse({}),
        publishRecords: () => undefined,
        clock: SystemClock.create(),
        logger: createSilentLogger(),
    }),
    engines: url => HttpEngine.create(url),
    clock: SystemClock.create(),
    randomness: SystemRandomness.create(),
    logger: createSilentLogger(),
    metrics: SilentMetrics.create(),
    guard: ConnectionGuard.create({
        bounds: connectionBoundsSchema.parse({}),
        clock: SystemClock.create(),
        logger: createSilentLogger(),
        metrics: SilentMetrics.create(),
    }),
});
process.on("message", () => {
    const { user, system } = process.cpuUsage();
    process.send?.({ seconds: (user + system) / 1e6, resident: process.memoryUsage.rss() });
});
process.on("disconnect", () => process.exit(0));
process.send?.({ port: daemon.callerPort() });
