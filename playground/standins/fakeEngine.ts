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
import { DecodeWork, transferPath } from "./decodeWork.js";
import { Faults } from "./faults.js";
import { answerJson, type Call, HttpServer, wait } from "./httpServer.js";
import { OrderWork } from "./orderWork.js";
import { PrefillWork } from "./prefillWork.js";
import { PrefixCache } from "./prefixCache.js";
import { Ran } from "./ran.js";
import { type FakeEngineSettings, fakeEngineSettingsSchema } from "./settings.js";
import { streamLines } from "./streamLines.js";

type Picture = { readonly at: number; readonly active: string[]; readonly queuedTokens: number; };
type Handler = (call: Call) => Promise<void> | void;

const drainInterval = 20;
const pictureInterval = 25;

/** A fake engine that plays either role. */
export class FakeEngine {
    readonly ran = Ran.create();
    readonly faults: Faults;
    readonly orders: OrderWork;
    private readonly prefills: PrefillWork;
    private readonly decodes: DecodeWork;
    private readonly announcer: Announcer;
    private readonly incarnation: number;
    /** Attempts under which it ends. */
    private readonly deadly = new Set<string>();
    private readonly handlers: ReadonlyMap<string, Handler>;
    private readonly pictures: Picture[] = [];
    private readonly pictureTimer: NodeJS.Timeout;
    private server!: HttpServer;
    private leaving = false;
    private reports = 0;

    private constructor(
        private readonly settings: FakeEngineSettings,
        private readonly cache: PrefixCache,
        private readonly onDeath: () => void,
    ) {
        this.incarnation = settings.incarnation ?? Date.now();
        this.faults = Faults.create(() => this.die());
        const factor = () => this.faults.factor();
        this.prefills = PrefillWork.create(settings, cache, this.ran, factor);
        this.decodes = DecodeWork.create(settings, this.ran, factor);
        this.orders = OrderWork.create(settings, {
            active: model => this.active(model),
            cut: attempts => attempts.forEach(attempt => this.release(attempt)),
            changed: () => {
                this.cache.clear();
                this.announcer.change();
            },
        });
        const told = { announcement: () => this.announcement(), load: () => this.report(true) };
        this.announcer = Announcer.create(settings.listeners, told, settings.seed);
        this.pictureTimer = setInterval(() => this.takePicture(), pictureInterval);
        this.handlers = this.createHandlers();
    }

    /** Starts the engine. `onDeath` is called when a fault kills it. */
    static async create(
        settings: Parameters<typeof fakeEngineSettingsSchema.parse>[0],
        onDeath: () => void = () => {},
    ): Promise<FakeEngine> {
        const resolved = fakeEngineSettingsSchema.parse(settings);
        const engine = new FakeEngine(resolved, await PrefixCache.create(resolved), onDeath);
        engine.server = await HttpServer.create(resolved.host, call => engine.answer(call));
        engine.announcer.start();
        return engine;
    }

    get url(): string {
        return this.server.url;
    }

    get id(): string {
        return this.settings.id;
    }

    /** Attempts that hold a slot or memory, of one model or of all. */
    active(model?: string): string[] {
        return [...new Set([...this.prefills.active(model), ...this.decodes.active(model)])];
    }

    state(): EngineState {
        const { role, models, highestFence } = this.orders;
        return { id: this.id, incarnation: this.incarnation, role, models, highestFence, active: this.active() };
    }

    /** Says that it leaves, takes no new work, and ends once nothing runs any more. */
    async leave(): Promise<void> {
        await this.announcer.leave();
        this.leaving = true;
        while (this.active().length > 0) {
            await wait(drainInterval);
        }
        await this.close();
    }

    /** Ends at once, and cuts what runs. */
    async close(): Promise<void> {
        clearInterval(this.pictureTimer);
        this.decodes.close();
        this.server.die();
        await this.announcer.stop();
    }

    private die(): void {
        void this.close();
        this.onDeath();
    }

    private async answer(call: Call): Promise<void> {
        if (call.path === "/fault") {
            this.faults.control(call);
            return;
        }
        const handler = this.handlers.get(call.path);
        if (handler === undefined) {
            answerJson(call.response, 404, { message: `no such path: ${call.path}` });
            return;
        }
        if (!call.path.includes("/test/") && this.faults.strike(call)) {
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
            [enginePath.state, call => answerJson(call.response, 200, this.state())],
            [enginePath.load, call => answerJson(call.response, 200, this.report(false))],
            [transferPath.fetch, call => this.fetch(call)],
            [transferPath.fetched, call => {
                this.prefills.fetched(handleOf(call));
                answerJson(call.response, 200, {});
            }],
            ["/engine/v1/test/held", call => answerJson(call.response, 200, { active: this.active() })],
            ["/engine/v1/test/ran", call => answerJson(call.response, 200, this.ran.all())],
            ["/engine/v1/test/orders", call => answerJson(call.response, 200, this.orders.given)],
        ]);
    }

    private async prefill(call: Call): Promise<void> {
        const { attempt, generation } = prefillRequestSchema.parse(JSON.parse(call.body));
        const refusal = this.refusal("prefill", generation);
        answerWork(call, refusal ?? await this.prefills.prefill(attempt, generation));
    }

    private async import(call: Call): Promise<void> {
        const { attempt, source, generation } = importRequestSchema.parse(JSON.parse(call.body));
        const refusal = this.refusal("decode", generation);
        const { diesUnder } = this.settings;
        if (diesUnder !== undefined && generation.prompt.includes(diesUnder)) {
            this.deadly.add(attempt);
        }
        answerWork(call, refusal ?? await this.decodes.import(attempt, source, generation));
    }

    private async decode(call: Call): Promise<void> {
        const { attempt, offset } = decodeRequestSchema.parse(JSON.parse(call.body));
        const decoding = this.decodes.find(attempt);
        if (decoding === undefined) {
            answerWork(call, { notRun: true, code: "evicted", message: `${attempt} isn't held here` });
            return;
        }
        const resuming = decoding.phase !== "held";
        if (offset > decoding.produced || decoding.phase === "importing" || resuming && !this.settings.resume) {
            answerJson(call.response, 400, { message: `can't decode from ${offset}` });
            return;
        }
        if (this.deadly.has(attempt)) {
            this.die();
            return;
        }
        this.decodes.start(decoding);
        await streamLines(call.response, this.decodes, decoding, offset, this.faults);
    }

    private cancel(call: Call): void {
        const { attempt } = cancelRequestSchema.parse(JSON.parse(call.body));
        if (this.faults.dropsCancel()) {
            return;
        }
        this.ran.of(attempt).cancels += 1;
        this.release(attempt);
        answerJson(call.response, 200, { released: true });
    }

    private async order(call: Call): Promise<void> {
        const { orderId, fence, order } = orderRequestSchema.parse(JSON.parse(call.body));
        answerJson(call.response, 200, await this.orders.order(orderId, fence, order));
    }

    private fetch(call: Call): void {
        const result = this.prefills.fetch(handleOf(call));
        answerWork(call, result ?? { notRun: true, code: "evicted", message: "the result is evicted" });
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
        this.prefills.cancel(attempt);
        this.decodes.cancel(attempt);
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

    /** Cache events go with the words to entry daemons only: each is told once. */
    private report(withCache: boolean): LoadReport {
        this.takePicture();
        const picture = this.pictures[0]!;
        this.reports += 1;
        const tokenTime = this.orders.role === "prefill" ? this.settings.promptTokenTime : this.settings.tokenTime;
        return {
            id: this.id,
            incarnation: this.incarnation,
            sequence: this.reports,
            active: picture.active,
            queuedTokens: picture.queuedTokens,
            tokenTime: tokenTime * this.faults.factor(),
            cache: withCache ? this.cache.due(performance.now()) : undefined,
        };
    }

    /** Keeps pictures of the load for as long as reports lag; the first one is what a report tells. */
    private takePicture(): void {
        const at = performance.now();
        this.pictures.push({ at, active: this.active(), queuedTokens: this.prefills.queuedTokens() });
        while (this.pictures.length > 1 && this.pictures[1]!.at <= at - this.settings.loadLag) {
            this.pictures.shift();
        }
    }
}

function handleOf(call: Call): string {
    return (JSON.parse(call.body) as { readonly handle: string; }).handle;
}

function answerWork(call: Call, answer: object | undefined): void {
    if (answer === undefined) {
        answerJson(call.response, 500, { message: "the attempt was cancelled" });
        return;
    }
    const refused = "notRun" in answer;
    answerJson(call.response, refused ? 409 : 200, answer);
}
