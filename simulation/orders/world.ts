import type { EngineReading, OpenOrder } from "../../packages/basilpaddle/src/node/coordination/orders/orderState.js";
import { isWarm, servingCopies } from "../../packages/basilpaddle/src/node/coordination/orders/poolPlan.js";
import type { OrderSendResult, SentOrder } from "../../packages/basilpaddle/src/node/coordination/orders/reconciler.js";
import { servedVersion } from "../../packages/basilpaddle/src/node/coordination/orders/servedVersion.js";
import type {
    Announcement,
    EngineState,
    Order,
    Pool,
    View,
} from "../../packages/basilpaddle/src/node/protocol/index.js";
import type { SeededRandomness } from "../../packages/basilpaddle/src/node/utils/index.js";
import { announce, poolName, viewOf } from "./samples.js";

type Role = EngineState["role"];
type WorldEngine = EngineState & { announced: Announcement; draining: boolean; checksFence: boolean; };
type Attempt = {
    readonly id: string;
    readonly began: number;
    readonly version: string;
    readonly decode: string;
    at: string;
    until: number;
};
type Late = { readonly at: number; readonly sentAt: number; readonly open: OpenOrder; readonly fence: number; };

/** What the model of the world may do. */
export type WorldRules = {
    readonly settle: number;
    readonly orderTimeout: number;
    readonly checksFence: boolean;
    /** Chance of each fault at each chance for it. */
    readonly faults: number;
};

function loaded(model: EngineState["models"][number]): EngineState["models"][number] {
    if (model.phase !== "loading" && model.loadingAdapters.length === 0) {
        return model;
    }
    const adapters = [...new Set([...model.adapters, ...model.loadingAdapters])];
    return { ...model, adapters, phase: "warm", loadingAdapters: [] };
}

/** A pool of engines with callers, seen by entry daemons whose view is up to a view lease old. */
export class World {
    now = 0;
    declared: Pool;
    readonly violations: string[] = [];
    private readonly engines = new Map<string, WorldEngine>();
    private attempts: Attempt[] = [];
    private late: Late[] = [];
    private views: { readonly at: number; readonly view: View; }[] = [];
    private begun = 0;
    private named: string | undefined;

    constructor(declared: Pool, engines: number, private readonly random: SeededRandomness, private rules: WorldRules) {
        this.declared = declared;
        for (let n = 0; n < engines; n++) {
            this.start(`engine-${n}`, this.random.fraction() < 0.5 ? "prefill" : "decode");
        }
        this.publish();
    }

    quieten(): void {
        this.rules = { ...this.rules, faults: 0 };
    }

    view(): View {
        return this.views.at(-1)!.view;
    }

    states(): readonly EngineState[] {
        return [...this.engines.values()];
    }

    /** Engines as the view has them, with a reading of now. */
    serving(role: Role): number {
        const view = this.view();
        const engines = this.observed(this.readingsNow());
        const served = new Map(this.declared.models.map(({ name }) => [name, servedVersion(view, poolName, name)]));
        const situation = { name: poolName, declared: this.declared, engines, served, named: {} };
        return servingCopies(situation, role);
    }

    /** Readings of engines, of which some fail. They aren't taken at one instant: an attempt that moves may be in none. */
    readings(chance = 1 - this.rules.faults): Map<string, EngineReading> {
        const early = this.readingsNow();
        this.step();
        const late = this.readingsNow();
        const read = [...this.engines.keys()].filter(() => this.random.fraction() < chance);
        return new Map(read.map(id => [id, (this.random.fraction() < 0.5 ? early : late).get(id)!]));
    }

    drain(id: string, draining: boolean): void {
        this.engines.get(id)!.draining = draining;
        this.publish(false);
    }

    /** Sends an order, which takes a while; its answer, or itself, may get lost on the way. */
    send(open: OpenOrder, fence: number): SentOrder {
        for (let steps = this.random.integer(0, 8); steps > 0; steps--) {
            this.step();
        }
        const sentAt = this.now;
        if (this.random.fraction() >= this.rules.faults) {
            return { sentAt, result: this.apply({ at: sentAt, sentAt, open, fence }) };
        }
        if (this.random.fraction() < 0.7) {
            this.late.push({ at: sentAt + this.random.fraction() * this.rules.orderTimeout, sentAt, open, fence });
        }
        return { sentAt, result: "unknown" };
    }

    move(version: string): void {
        this.named = version;
        this.publish(false);
    }

    /** Sends an order that takes effect so much later, and whose answer is lost. */
    sendLate(open: OpenOrder, fence: number, delay: number): SentOrder {
        this.late.push({ at: this.now + delay, sentAt: this.now, open, fence });
        return { sentAt: this.now, result: "unknown" };
    }

    /** Lets time pass: callers come and go, loads end, late orders arrive, engines restart. */
    pass(milliseconds: number): void {
        const until = this.now + milliseconds;
        while (this.now < until) {
            this.step();
            this.restart();
        }
        this.publish();
    }

    /** Engines by the role that they play. */
    copies(): Pool["copies"] {
        const count = (role: Role) => [...this.engines.values()].filter(engine => engine.role === role).length;
        return { prefill: count("prefill"), decode: count("decode") };
    }

    loading(): number {
        return [...this.engines.values()].filter(({ models }) => models.some(model => loaded(model) !== model))
            .length;
    }

    /** What a pool without faults comes to. */
    isAsDeclared(): boolean {
        const engines = this.observed(this.readingsNow());
        // A pool without a pair of engines serves nothing, and keeps what it has.
        const unserved = servedVersion(this.view(), poolName, "m") === undefined;
        const models = engines.every(engine =>
            (unserved || engine.reading!.state.models.length === this.declared.models.length)
            && this.declared.models.every(({ name, version, adapters }) => isWarm(engine, name, version, adapters))
        );
        const count = (role: Role) => engines.filter(({ reading }) => reading!.state.role === role).length;
        const { copies } = this.declared;
        const short = copies.prefill > count("prefill") && copies.decode < count("decode")
            || copies.decode > count("decode") && copies.prefill < count("prefill");
        return models && !short && engines.every(({ state }) => state === "ready");
    }

    private observed(readings: ReadonlyMap<string, EngineReading>) {
        return Object.values(this.view().backends)
            .map(({ announcement, state }) => ({ announcement, state, reading: readings.get(announcement.id) }));
    }

    private apply({ open, fence, sentAt }: Late): OrderSendResult {
        const engine = this.engines.get(open.engine)!;
        if (engine.incarnation !== open.incarnation || this.random.fraction() < this.rules.faults / 4) {
            return "failed";
        }
        if (engine.checksFence && fence < engine.highestFence) {
            return "refused";
        }
        engine.highestFence = Math.max(engine.highestFence, fence);
        return this.carryOut(engine, open.order, sentAt);
    }

    private carryOut(engine: WorldEngine, order: Order, sentAt: number): OrderSendResult {
        if (order.action === "changeRole") {
            this.cut(engine, order, () => true);
            engine.role = order.role;
            return "done";
        }
        const others = engine.models.filter(({ name, version }) => name !== order.model || version !== order.version);
        if (order.action === "unload") {
            this.cut(engine, order, ({ version, began }) => version === order.version && began < sentAt);
            engine.models = others;
            return "done";
        }
        const { model: name, version, adapters } = order;
        const present = engine.models.find(model => model.name === name && model.version === version);
        engine.models = present?.phase === "warm"
            ? [...others, { ...present, loadingAdapters: adapters }]
            : [...others, { name, version, adapters, phase: "loading", loadingAdapters: [] }];
        return "started";
    }

    private cut(engine: WorldEngine, order: Order, isCut: (attempt: Attempt) => boolean): void {
        const cut = this.attempts.filter(attempt => attempt.at === engine.id && isCut(attempt));
        if (cut.length > 0) {
            this.violations.push(
                `${order.action} at ${engine.id} cut ${cut.map(({ id }) => id).join()} at ${this.now}`,
            );
        }
    }

    private step(): void {
        this.now += 100;
        this.arrive();
        this.moveAttempts();
        this.begin();
        for (const engine of this.engines.values()) {
            engine.models = engine.models.map(model => this.random.fraction() < 0.1 ? loaded(model) : model);
        }
    }

    private arrive(): void {
        for (const late of this.late.filter(({ at }) => at <= this.now)) {
            this.apply(late);
        }
        this.late = this.late.filter(({ at }) => at > this.now);
    }

    /** An attempt goes from its prefill engine to its decode engine, unless that proves that it doesn't take it. */
    private moveAttempts(): void {
        for (const attempt of this.attempts.filter(({ until }) => until <= this.now)) {
            const decode = this.engines.get(attempt.decode)!;
            const takes = decode.role === "decode" && this.has(decode, attempt.version);
            if (attempt.at === attempt.decode || !takes) {
                this.attempts.splice(this.attempts.indexOf(attempt), 1);
                continue;
            }
            attempt.at = attempt.decode;
            attempt.until = this.now + this.random.integer(200, 6_000);
        }
    }

    /** An entry daemon begins an attempt by a view that may be almost a view lease old. */
    private begin(): void {
        const oldest = this.now - this.rules.settle * this.random.fraction();
        const { view } = this.views.findLast(({ at }) => at <= oldest) ?? this.views[0]!;
        const version = servedVersion(view, poolName, "m");
        const choose = (role: Role) => {
            const able = Object.values(view.backends).filter(({ announcement, state }) =>
                state === "ready" && announcement.role === role
                && announcement.models.some(model => model.version === version)
            );
            const chosen = able[this.random.integer(0, Math.max(0, able.length - 1))];
            return chosen === undefined ? undefined : this.engines.get(chosen.announcement.id);
        };
        const [prefill, decode] = [choose("prefill"), choose("decode")];
        if (version === undefined || prefill === undefined || decode === undefined) {
            return;
        }
        if (prefill.role === "prefill" && this.has(prefill, version)) {
            this.begun += 1;
            const until = this.now + this.random.integer(100, 1_000);
            const id = `attempt-${this.begun}`;
            this.attempts.push({ id, began: this.now, version, decode: decode.id, at: prefill.id, until });
        }
    }

    private restart(): void {
        for (const engine of this.engines.values()) {
            if (this.random.fraction() < this.rules.faults / 100) {
                this.attempts = this.attempts.filter(({ at }) => at !== engine.id);
                this.late = this.late.filter(({ open }) => open.engine !== engine.id);
                this.start(engine.id, engine.role, engine.incarnation + 1);
            }
        }
    }

    private start(id: string, role: Role, incarnation = 1): void {
        const models = [{ name: "m", version: "1", adapters: [], phase: "warm" as const, loadingAdapters: [] }];
        const { checksFence } = this.rules;
        const announced = announce(id, { role, incarnation });
        const state = { id, incarnation, role, models, highestFence: 0, active: [] };
        this.engines.set(id, { ...state, announced, draining: false, checksFence });
    }

    private has(engine: WorldEngine, wanted: string): boolean {
        return engine.models.some(({ version, phase }) => version === wanted && phase === "warm");
    }

    private readingsNow(): Map<string, EngineReading> {
        const { now } = this;
        return new Map([...this.engines.values()].map(engine => [
            engine.id,
            { state: this.stateOf(engine), askedAt: now },
        ]));
    }

    private stateOf(engine: WorldEngine): EngineState {
        const { id, incarnation, role, models, highestFence } = engine;
        const active = this.attempts.filter(({ at }) => at === id).map(attempt => attempt.id);
        return { id, incarnation, role, models, highestFence, active };
    }

    /** Engines announce what has changed, sooner or later; the view takes it in. */
    private publish(announcing = true): void {
        for (const engine of announcing ? this.engines.values() : []) {
            const { incarnation, role, id } = engine;
            if (incarnation !== engine.announced.incarnation || this.random.fraction() >= this.rules.faults) {
                const models = engine.models.filter(({ phase }) => phase === "warm");
                const abilities = { ...engine.announced.abilities, changesRole: true };
                engine.announced = announce(id, { role, incarnation, models, abilities });
            }
        }
        const draining = [...this.engines.values()].filter(engine => engine.draining).map(({ id }) => id);
        const view = viewOf(this.declared, [...this.engines.values()].map(({ announced }) => announced), draining);
        const named: Record<string, string> = this.named === undefined ? {} : { m: this.named };
        this.views.push({ at: this.now, view: { ...view, served: { [poolName]: named } } });
        this.views = this.views.filter(({ at }, place) => at >= this.now - 30_000 || place === this.views.length - 1);
    }
}
