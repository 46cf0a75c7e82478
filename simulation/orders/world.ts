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
import { engineAnnouncement, poolName, viewOf } from "./samples.js";

type Role = EngineState["role"];
type WorldEngine = EngineState & { announced: Announcement; draining: boolean; checksFence: boolean; };
type Attempt = {
    readonly id: string;
    readonly startedAt: number;
    readonly version: string;
    readonly decodeEngineId: string;
    /** The engine where the attempt runs now. */
    engineId: string;
    /** When its prefill or decode ends. */
    stageEndsAt: number;
};
/** An order that takes effect at a later time. */
type DelayedOrder = { readonly at: number; readonly sentAt: number; readonly open: OpenOrder; readonly fence: number; };

/** Timing of the simulation in milliseconds, and its faults. */
export type WorldRules = {
    readonly settle: number;
    readonly orderTimeout: number;
    readonly checksFence: boolean;
    /** Probability of a fault at each point where one can occur. */
    readonly faults: number;
};

/** The model with its loads completed; the same object if it isn't loading anything. */
function completeLoad(model: EngineState["models"][number]): EngineState["models"][number] {
    if (model.phase !== "loading" && model.loadingAdapters.length === 0) {
        return model;
    }
    const adapters = [...new Set([...model.adapters, ...model.loadingAdapters])];
    return { ...model, adapters, phase: "warm", loadingAdapters: [] };
}

/** Simulation of a pool of engines and its callers. Entry daemons use views that are up to a view lease old. */
export class World {
    now = 0;
    declared: Pool;
    /** Orders that aborted attempts. */
    readonly violations: string[] = [];
    private readonly engines = new Map<string, WorldEngine>();
    private attempts: Attempt[] = [];
    private delayedOrders: DelayedOrder[] = [];
    private views: { readonly at: number; readonly view: View; }[] = [];
    private startedAttempts = 0;
    private namedVersion: string | undefined;

    constructor(declared: Pool, engines: number, private readonly random: SeededRandomness, private rules: WorldRules) {
        this.declared = declared;
        for (let n = 0; n < engines; n++) {
            this.startEngine(`engine-${n}`, this.random.fraction() < 0.5 ? "prefill" : "decode");
        }
        this.publishView();
    }

    stopFaults(): void {
        this.rules = { ...this.rules, faults: 0 };
    }

    view(): View {
        return this.views.at(-1)!.view;
    }

    states(): readonly EngineState[] {
        return [...this.engines.values()];
    }

    /** Number of engines that serve in the role, by the current view and the current state of the engines. */
    servingCount(role: Role): number {
        const view = this.view();
        const engines = this.observed(this.currentReadings());
        const served = new Map(this.declared.models.map(({ name }) => [name, servedVersion(view, poolName, name)]));
        const poolState = { name: poolName, declared: this.declared, engines, served, named: {} };
        return servingCopies(poolState, role);
    }

    /** Readings of the engines, some of which fail. Taken at different times, they may all miss an attempt in transfer. */
    readings(successProbability = 1 - this.rules.faults): Map<string, EngineReading> {
        const earlyReadings = this.currentReadings();
        this.step();
        const lateReadings = this.currentReadings();
        const readableEngines = [...this.engines.keys()].filter(() => this.random.fraction() < successProbability);
        return new Map(
            readableEngines.map(id => [id, (this.random.fraction() < 0.5 ? earlyReadings : lateReadings).get(id)!]),
        );
    }

    drain(id: string, draining: boolean): void {
        this.engines.get(id)!.draining = draining;
        this.publishView(false);
    }

    /** Sends an order, which takes up to 8 steps. A fault loses the answer, and either delays the order or loses it as well. */
    send(open: OpenOrder, fence: number): SentOrder {
        for (let steps = this.random.integer(0, 8); steps > 0; steps--) {
            this.step();
        }
        const sentAt = this.now;
        if (this.random.fraction() >= this.rules.faults) {
            return { sentAt, result: this.apply({ at: sentAt, sentAt, open, fence }) };
        }
        if (this.random.fraction() < 0.7) {
            this.delayedOrders.push({
                at: sentAt + this.random.fraction() * this.rules.orderTimeout,
                sentAt,
                open,
                fence,
            });
        }
        return { sentAt, result: "unknown" };
    }

    moveTraffic(version: string): void {
        this.namedVersion = version;
        this.publishView(false);
    }

    /** Sends an order that takes effect after `delay` milliseconds and whose answer is lost. */
    sendDelayed(open: OpenOrder, fence: number, delay: number): SentOrder {
        this.delayedOrders.push({ at: this.now + delay, sentAt: this.now, open, fence });
        return { sentAt: this.now, result: "unknown" };
    }

    /** Advances the time: attempts start and end, loads complete, delayed orders take effect, and engines restart. */
    advance(milliseconds: number): void {
        const until = this.now + milliseconds;
        while (this.now < until) {
            this.step();
            this.restartEngines();
        }
        this.publishView();
    }

    /** Number of engines by actual role. */
    copies(): Pool["copies"] {
        const count = (role: Role) => [...this.engines.values()].filter(engine => engine.role === role).length;
        return { prefill: count("prefill"), decode: count("decode") };
    }

    /** Number of engines with a load in progress. */
    countLoading(): number {
        return [...this.engines.values()].filter(({ models }) => models.some(model => completeLoad(model) !== model))
            .length;
    }

    /** Whether the pool is in a state that it must converge to without faults. */
    matchesDeclaration(): boolean {
        const engines = this.observed(this.currentReadings());
        // If no pair of engines carries a version, the pool serves none and unloads nothing, so that old models may remain.
        const isUnserved = servedVersion(this.view(), poolName, "m") === undefined;
        const hasDeclaredModels = engines.every(engine =>
            (isUnserved || engine.reading!.state.models.length === this.declared.models.length)
            && this.declared.models.every(({ name, version, adapters }) => isWarm(engine, name, version, adapters))
        );
        const count = (role: Role) => engines.filter(({ reading }) => reading!.state.role === role).length;
        const { copies } = this.declared;
        const needsRoleChange = copies.prefill > count("prefill") && copies.decode < count("decode")
            || copies.decode > count("decode") && copies.prefill < count("prefill");
        return hasDeclaredModels && !needsRoleChange && engines.every(({ state }) => state === "ready");
    }

    private observed(readings: ReadonlyMap<string, EngineReading>) {
        return Object.values(this.view().backends)
            .map(({ announcement, state }) => ({ announcement, state, reading: readings.get(announcement.id) }));
    }

    private apply({ open, fence, sentAt }: DelayedOrder): OrderSendResult {
        const engine = this.engines.get(open.engine)!;
        if (engine.incarnation !== open.incarnation || this.random.fraction() < this.rules.faults / 4) {
            return "failed";
        }
        if (engine.checksFence && fence < engine.highestFence) {
            return "refused";
        }
        engine.highestFence = Math.max(engine.highestFence, fence);
        return this.execute(engine, open.order, sentAt);
    }

    private execute(engine: WorldEngine, order: Order, sentAt: number): OrderSendResult {
        if (order.action === "changeRole") {
            this.recordAborted(engine, order, () => true);
            engine.role = order.role;
            return "done";
        }
        const others = engine.models.filter(({ name, version }) => name !== order.model || version !== order.version);
        if (order.action === "unload") {
            this.recordAborted(
                engine,
                order,
                ({ version, startedAt }) => version === order.version && startedAt < sentAt,
            );
            engine.models = others;
            return "done";
        }
        const { model: name, version, adapters } = order;
        const existing = engine.models.find(model => model.name === name && model.version === version);
        engine.models = existing?.phase === "warm"
            ? [...others, { ...existing, loadingAdapters: adapters }]
            : [...others, { name, version, adapters, phase: "loading", loadingAdapters: [] }];
        return "started";
    }

    private recordAborted(engine: WorldEngine, order: Order, isAborted: (attempt: Attempt) => boolean): void {
        const aborted = this.attempts.filter(attempt => attempt.engineId === engine.id && isAborted(attempt));
        if (aborted.length > 0) {
            this.violations.push(
                `${order.action} at ${engine.id} aborted ${aborted.map(({ id }) => id).join()} at ${this.now}`,
            );
        }
    }

    private step(): void {
        this.now += 100;
        this.applyDelayedOrders();
        this.moveAttempts();
        this.startAttempt();
        for (const engine of this.engines.values()) {
            engine.models = engine.models.map(model => this.random.fraction() < 0.1 ? completeLoad(model) : model);
        }
    }

    private applyDelayedOrders(): void {
        for (const delayed of this.delayedOrders.filter(({ at }) => at <= this.now)) {
            this.apply(delayed);
        }
        this.delayedOrders = this.delayedOrders.filter(({ at }) => at > this.now);
    }

    /** Moves attempts from their prefill to their decode engine, and ends those that have finished or that it can't run. */
    private moveAttempts(): void {
        for (const attempt of this.attempts.filter(({ stageEndsAt }) => stageEndsAt <= this.now)) {
            const decode = this.engines.get(attempt.decodeEngineId)!;
            const accepts = decode.role === "decode" && this.hasWarm(decode, attempt.version);
            if (attempt.engineId === attempt.decodeEngineId || !accepts) {
                this.attempts.splice(this.attempts.indexOf(attempt), 1);
                continue;
            }
            attempt.engineId = attempt.decodeEngineId;
            attempt.stageEndsAt = this.now + this.random.integer(200, 6_000);
        }
    }

    /** Starts an attempt with engines from a view that may be almost a view lease old, as an entry daemon may. */
    private startAttempt(): void {
        const viewTime = this.now - this.rules.settle * this.random.fraction();
        const { view } = this.views.findLast(({ at }) => at <= viewTime) ?? this.views[0]!;
        const version = servedVersion(view, poolName, "m");
        const selectEngine = (role: Role) => {
            const candidates = Object.values(view.backends).filter(({ announcement, state }) =>
                state === "ready" && announcement.role === role
                && announcement.models.some(model => model.version === version)
            );
            const selected = candidates[this.random.integer(0, Math.max(0, candidates.length - 1))];
            return selected === undefined ? undefined : this.engines.get(selected.announcement.id);
        };
        const [prefill, decode] = [selectEngine("prefill"), selectEngine("decode")];
        if (version === undefined || prefill === undefined || decode === undefined) {
            return;
        }
        if (prefill.role === "prefill" && this.hasWarm(prefill, version)) {
            this.startedAttempts += 1;
            const stageEndsAt = this.now + this.random.integer(100, 1_000);
            const id = `attempt-${this.startedAttempts}`;
            this.attempts.push({
                id,
                startedAt: this.now,
                version,
                decodeEngineId: decode.id,
                engineId: prefill.id,
                stageEndsAt,
            });
        }
    }

    /** Restarts engines at random, with their initial model and without the orders in transit to them. */
    private restartEngines(): void {
        for (const engine of this.engines.values()) {
            if (this.random.fraction() < this.rules.faults / 100) {
                this.attempts = this.attempts.filter(({ engineId }) => engineId !== engine.id);
                this.delayedOrders = this.delayedOrders.filter(({ open }) => open.engine !== engine.id);
                this.startEngine(engine.id, engine.role, engine.incarnation + 1);
            }
        }
    }

    private startEngine(id: string, role: Role, incarnation = 1): void {
        const models = [{ name: "m", version: "1", adapters: [], phase: "warm" as const, loadingAdapters: [] }];
        const { checksFence } = this.rules;
        const announced = engineAnnouncement(id, { role, incarnation });
        const state = { id, incarnation, role, models, highestFence: 0, active: [] };
        this.engines.set(id, { ...state, announced, draining: false, checksFence });
    }

    private hasWarm(engine: WorldEngine, wantedVersion: string): boolean {
        return engine.models.some(({ version, phase }) => version === wantedVersion && phase === "warm");
    }

    private currentReadings(): Map<string, EngineReading> {
        const { now } = this;
        return new Map([...this.engines.values()].map(engine => [
            engine.id,
            { state: this.stateOf(engine), askedAt: now },
        ]));
    }

    private stateOf(engine: WorldEngine): EngineState {
        const { id, incarnation, role, models, highestFence } = engine;
        const active = this.attempts.filter(({ engineId }) => engineId === id).map(attempt => attempt.id);
        return { id, incarnation, role, models, highestFence, active };
    }

    /** Publishes a new view, by default with the engines' changes. A fault delays these, except after a restart. */
    private publishView(includeAnnouncements = true): void {
        for (const engine of includeAnnouncements ? this.engines.values() : []) {
            const { incarnation, role, id } = engine;
            if (incarnation !== engine.announced.incarnation || this.random.fraction() >= this.rules.faults) {
                const models = engine.models.filter(({ phase }) => phase === "warm");
                const abilities = { ...engine.announced.abilities, changesRole: true };
                engine.announced = engineAnnouncement(id, { role, incarnation, models, abilities });
            }
        }
        const draining = [...this.engines.values()].filter(engine => engine.draining).map(({ id }) => id);
        const view = viewOf(this.declared, [...this.engines.values()].map(({ announced }) => announced), draining);
        const named: Record<string, string> = this.namedVersion === undefined ? {} : { m: this.namedVersion };
        this.views.push({ at: this.now, view: { ...view, served: { [poolName]: named } } });
        this.views = this.views.filter(({ at }, index) => at >= this.now - 30_000 || index === this.views.length - 1);
    }
}
