import {
    type Announcement,
    cancelRequestSchema,
    decodeRequestSchema,
    enginePath,
    type EngineRefusal,
    type EngineState,
    type Generation,
    importRequestSchema,
    type LoadReport,
    orderRequestSchema,
    prefillRequestSchema,
} from "../../packages/basilpaddle/src/node/index.js";
import { Announcer } from "./announcer.js";
import { AttemptRecords } from "./attemptRecords.js";
import { DecodeBatch, transferPath } from "./decodeBatch.js";
import { Faults } from "./faults.js";
import { type Call, HttpServer, respondWithJson, wait } from "./httpServer.js";
import { OrderExecutor } from "./orderExecutor.js";
import { PrefillQueue } from "./prefillQueue.js";
import { PrefixCache } from "./prefixCache.js";
import { type FakeEngineSettings, fakeEngineSettingsSchema } from "./settings.js";
import { streamLines } from "./streamLines.js";

type LoadSnapshot = { readonly at: number; readonly active: string[]; readonly queuedTokens: number; };
type Handler = (call: Call) => Promise<void> | void;

const drainPollMilliseconds = 20;
const snapshotIntervalMilliseconds = 25;

/** A fake engine that runs in either role, prefill or decode. */
export class FakeEngine {
    readonly attemptRecords = AttemptRecords.create();
    readonly faults: Faults;
    readonly orders: OrderExecutor;
    private readonly prefillQueue: PrefillQueue;
    private readonly decodeBatch: DecodeBatch;
    private readonly announcer: Announcer;
    private readonly incarnation: number;
    /** Attempts that crash the engine as soon as they start to decode. */
    private readonly poisonAttempts = new Set<string>();
    private readonly handlers: ReadonlyMap<string, Handler>;
    private readonly loadSnapshots: LoadSnapshot[] = [];
    private readonly snapshotTimer: NodeJS.Timeout;
    private server!: HttpServer;
    private leaving = false;
    private reportCount = 0;

    private constructor(
        private readonly settings: FakeEngineSettings,
        private readonly cache: PrefixCache,
        private readonly onCrash: () => void,
    ) {
        this.incarnation = settings.incarnation ?? Date.now();
        this.faults = Faults.create(() => this.crash());
        const slowdownFactor = () => this.faults.slowdownFactor();
        this.prefillQueue = PrefillQueue.create(settings, cache, this.attemptRecords, slowdownFactor);
        this.decodeBatch = DecodeBatch.create(settings, this.attemptRecords, slowdownFactor);
        this.orders = OrderExecutor.create(settings, {
            active: model => this.active(model),
            cancelAttempts: attempts => attempts.forEach(attempt => this.release(attempt)),
            onChange: () => {
                this.cache.clear();
                this.announcer.announceChange();
            },
        });
        const announcementSource = { announcement: () => this.announcement(), load: () => this.loadReport(true) };
        this.announcer = Announcer.create(settings.listeners, announcementSource, settings.seed);
        this.snapshotTimer = setInterval(() => this.takeSnapshot(), snapshotIntervalMilliseconds);
        this.handlers = this.createHandlers();
    }

    /** Starts the engine. `onCrash` is called when a fault or a prompt crashes it. */
    static async create(
        settings: Parameters<typeof fakeEngineSettingsSchema.parse>[0],
        onCrash: () => void = () => {},
    ): Promise<FakeEngine> {
        const resolved = fakeEngineSettingsSchema.parse(settings);
        const engine = new FakeEngine(resolved, await PrefixCache.create(resolved), onCrash);
        engine.server = await HttpServer.create(resolved.host, call => engine.dispatch(call));
        engine.announcer.start();
        return engine;
    }

    get url(): string {
        return this.server.url;
    }

    get id(): string {
        return this.settings.id;
    }

    /** Attempts that occupy a slot or memory, of one model or of all. */
    active(model?: string): string[] {
        return [...new Set([...this.prefillQueue.active(model), ...this.decodeBatch.active(model)])];
    }

    state(): EngineState {
        const { role, models, highestFence } = this.orders;
        return { id: this.id, incarnation: this.incarnation, role, models, highestFence, active: this.active() };
    }

    /** Announces that it leaves, then refuses new work and closes once no attempt is active any more. */
    async leave(): Promise<void> {
        await this.announcer.leave();
        this.leaving = true;
        while (this.active().length > 0) {
            await wait(drainPollMilliseconds);
        }
        await this.close();
    }

    /** Closes at once and interrupts the active attempts. */
    async close(): Promise<void> {
        clearInterval(this.snapshotTimer);
        this.decodeBatch.close();
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
        const handler = this.handlers.get(call.path);
        if (handler === undefined) {
            respondWithJson(call.response, 404, { message: `no such path: ${call.path}` });
            return;
        }
        if (!call.path.includes("/test/") && this.faults.inject(call)) {
            return;
        }
        await handler(call);
    }

    private createHandlers(): ReadonlyMap<string, Handler> {
        return new Map<string, Handler>([
            [enginePath.prefill, call => this.prefill(call)],
            [enginePath.import, call => this.import(call)],
            [enginePath.decode, call => this.decode(call)],
            [enginePath.cancel, call => this.cancel(call)],
            [enginePath.order, call => this.order(call)],
            [enginePath.state, call => respondWithJson(call.response, 200, this.state())],
            [enginePath.load, call => respondWithJson(call.response, 200, this.loadReport(false))],
            [transferPath.begin, call => this.beginTransfer(call)],
            [transferPath.release, call => {
                this.prefillQueue.releaseResult(readHandle(call));
                respondWithJson(call.response, 200, {});
            }],
            ["/engine/v1/test/held", call => respondWithJson(call.response, 200, { active: this.active() })],
            ["/engine/v1/test/ran", call => respondWithJson(call.response, 200, this.attemptRecords.all())],
            ["/engine/v1/test/orders", call => respondWithJson(call.response, 200, this.orders.received)],
        ]);
    }

    private async prefill(call: Call): Promise<void> {
        const { attempt, generation } = prefillRequestSchema.parse(JSON.parse(call.body));
        const refusal = this.refusal("prefill", generation);
        sendResult(call, refusal ?? await this.prefillQueue.prefill(attempt, generation));
    }

    private async import(call: Call): Promise<void> {
        const { attempt, source, generation } = importRequestSchema.parse(JSON.parse(call.body));
        const refusal = this.refusal("decode", generation);
        const { diesUnder } = this.settings;
        if (diesUnder !== undefined && generation.prompt.includes(diesUnder)) {
            this.poisonAttempts.add(attempt);
        }
        sendResult(call, refusal ?? await this.decodeBatch.import(attempt, source, generation));
    }

    private async decode(call: Call): Promise<void> {
        const { attempt, offset } = decodeRequestSchema.parse(JSON.parse(call.body));
        const decoding = this.decodeBatch.find(attempt);
        if (decoding === undefined) {
            sendResult(call, { notRun: true, code: "evicted", message: `${attempt} has no KV cache on this engine` });
            return;
        }
        const resuming = decoding.phase !== "imported";
        if (offset > decoding.produced || decoding.phase === "importing" || resuming && !this.settings.resume) {
            respondWithJson(call.response, 400, { message: `can't decode from offset ${offset}` });
            return;
        }
        if (this.poisonAttempts.has(attempt)) {
            this.crash();
            return;
        }
        this.decodeBatch.start(decoding);
        await streamLines(call.response, this.decodeBatch, decoding, offset, this.faults);
    }

    private cancel(call: Call): void {
        const { attempt } = cancelRequestSchema.parse(JSON.parse(call.body));
        if (this.faults.takeCancelDrop()) {
            return;
        }
        this.attemptRecords.of(attempt).cancels += 1;
        this.release(attempt);
        respondWithJson(call.response, 200, { released: true });
    }

    private async order(call: Call): Promise<void> {
        const { orderId, fence, order } = orderRequestSchema.parse(JSON.parse(call.body));
        respondWithJson(call.response, 200, await this.orders.receive(orderId, fence, order));
    }

    private beginTransfer(call: Call): void {
        const result = this.prefillQueue.beginTransfer(readHandle(call));
        sendResult(call, result ?? { notRun: true, code: "evicted", message: "the result is evicted" });
    }

    private refusal(role: EngineState["role"], generation: Generation): EngineRefusal | undefined {
        if (this.leaving) {
            return { notRun: true, code: "leaving", message: "this engine is leaving" };
        }
        if (this.orders.role !== role) {
            return { notRun: true, code: "badRequest", message: `this engine's role is ${this.orders.role}` };
        }
        if (!this.orders.serves(generation.model, generation.adapter, generation.version)) {
            return { notRun: true, code: "unknownModel", message: `${generation.model} isn't warm here` };
        }
        return undefined;
    }

    private release(attempt: string): void {
        this.prefillQueue.cancel(attempt);
        this.decodeBatch.cancel(attempt);
    }

    private announcement(): Announcement {
        const { id, url, settings } = this;
        const models = this.orders.models.filter(({ phase }) => phase === "warm")
            .map(({ name, version, adapters }) => ({ name, version, adapters }));
        return {
            id,
            incarnation: this.incarnation,
            url: settings.announcedUrl ?? url,
            failureDomain: settings.failureDomain,
            role: this.orders.role,
            pool: settings.pool,
            models,
            slots: settings.slots,
            linkRate: settings.linkRate,
            abilities: {
                checksFence: settings.checksFence,
                resume: settings.resume,
                cancel: true,
                transfer: true,
                priorities: false,
                changesRole: settings.changesRole,
            },
        };
    }

    /** Cache events are included only in messages to entry daemons, since each event is reported once. */
    private loadReport(withCache: boolean): LoadReport {
        this.takeSnapshot();
        const snapshot = this.loadSnapshots[0]!;
        this.reportCount += 1;
        const tokenTime = this.orders.role === "prefill" ? this.settings.promptTokenTime : this.settings.tokenTime;
        return {
            id: this.id,
            incarnation: this.incarnation,
            sequence: this.reportCount,
            active: snapshot.active,
            queuedTokens: snapshot.queuedTokens,
            tokenTime: tokenTime * this.faults.slowdownFactor(),
            cache: withCache ? this.cache.takeDueEvents(performance.now()) : undefined,
        };
    }

    /** Records the current load and keeps the snapshots of the last `loadLag` milliseconds; a report contains the oldest one. */
    private takeSnapshot(): void {
        const at = performance.now();
        this.loadSnapshots.push({ at, active: this.active(), queuedTokens: this.prefillQueue.queuedTokens() });
        while (this.loadSnapshots.length > 1 && this.loadSnapshots[1]!.at <= at - this.settings.loadLag) {
            this.loadSnapshots.shift();
        }
    }
}

function readHandle(call: Call): string {
    return (JSON.parse(call.body) as { readonly handle: string; }).handle;
}

function sendResult(call: Call, answer: object | undefined): void {
    if (answer === undefined) {
        respondWithJson(call.response, 500, { message: "the attempt was cancelled" });
        return;
    }
    const refused = "notRun" in answer;
    respondWithJson(call.response, refused ? 409 : 200, answer);
}
