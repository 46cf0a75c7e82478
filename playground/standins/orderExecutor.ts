import { request } from "undici";
import { type EngineState, type Order, type OrderAnswer } from "../../packages/basilpaddle/src/node/index.js";
import { wait } from "./httpServer.js";
import type { FakeEngineSettings } from "./settings.js";

/** A received order with its outcome, and the attempts that were active when it arrived. */
export type ReceivedOrder = {
    readonly orderId: string;
    readonly fence: number;
    readonly order: Order;
    readonly outcome: OrderAnswer["outcome"];
    readonly active: readonly string[];
};

/** The engine that executes an order, as far as orders affect it. */
export type OrderTarget = {
    readonly active: (model?: string) => string[];
    /** Cancels attempts at once, as an engine does that receives an order before it was drained. */
    readonly cancelAttempts: (attempts: readonly string[]) => void;
    /** Called when the announcement of the engine has changed. */
    readonly onChange: () => void;
};

/** The models and the role of a fake engine; executes the orders that change them. */
export class OrderExecutor {
    role: EngineState["role"];
    models: EngineState["models"];
    highestFence = 0;
    readonly received: ReceivedOrder[] = [];
    private readonly answers = new Map<string, OrderAnswer>();

    private constructor(private readonly settings: FakeEngineSettings, private readonly target: OrderTarget) {
        this.role = settings.role;
        this.models = settings.models.map(model => ({ ...model, phase: "warm", loadingAdapters: [] }));
    }

    static create(settings: FakeEngineSettings, target: OrderTarget): OrderExecutor {
        return new OrderExecutor(settings, target);
    }

    /** Whether a request for the model can be run. */
    serves(model: string, adapter: string | undefined, version: string | undefined): boolean {
        return this.models.some(({ name, phase, adapters, version: loaded }) =>
            name === model && phase === "warm" && (adapter === undefined || adapters.includes(adapter))
            && (version === undefined || version === loaded)
        );
    }

    /** Executes an order after the configured latency; a repeated order gets the answer of its first execution. */
    async receive(orderId: string, fence: number, order: Order): Promise<OrderAnswer> {
        await wait(this.settings.orderLatency);
        const earlier = this.answers.get(orderId);
        if (earlier !== undefined) {
            return earlier;
        }
        const active = order.action === "unload" ? this.target.active(order.model) : this.target.active();
        const answer = this.execute(fence, order);
        this.received.push({ orderId, fence, order, outcome: answer.outcome, active });
        this.answers.set(orderId, answer);
        return answer;
    }

    private execute(fence: number, order: Order): OrderAnswer {
        if (this.settings.checksFence && fence < this.highestFence) {
            return this.refuse(`fencing number ${fence} is older than ${this.highestFence}`);
        }
        this.highestFence = Math.max(this.highestFence, fence);
        switch (order.action) {
            case "load":
                return this.load(order);
            case "unload":
                return this.unload(order);
            case "changeRole":
                return this.changeRole(order.role);
        }
    }

    private load(order: Extract<Order, { action: "load"; }>): OrderAnswer {
        const { model: name, version, adapters } = order;
        const existing = this.models.find(model => model.name === name && model.version === version);
        if (existing?.phase === "loading") {
            return this.answer("started");
        }
        if (existing !== undefined && adapters.every(adapter => existing.adapters.includes(adapter))) {
            return this.answer("done");
        }
        // A warm version continues to serve requests while adapters are loaded for it.
        const loadingModel = existing === undefined
            ? { name, version, adapters, phase: "loading" as const, loadingAdapters: [] }
            : { ...existing, loadingAdapters: adapters };
        this.replaceModel(name, version, loadingModel);
        void this.fetchWeights(name, version).then(loaded => {
            const allAdapters = [...new Set([...existing?.adapters ?? [], ...adapters])];
            const loadedModel = { name, version, adapters: allAdapters, phase: "warm" as const, loadingAdapters: [] };
            this.replaceModel(name, version, loaded ? loadedModel : existing);
            this.target.onChange();
        });
        return this.answer("started");
    }

    private replaceModel(name: string, version: string, model: EngineState["models"][number] | undefined): void {
        const others = this.models.filter(other => other.name !== name || other.version !== version);
        this.models = model === undefined ? others : [...others, model];
    }

    private unload(order: Extract<Order, { action: "unload"; }>): OrderAnswer {
        const remaining = this.models.filter(({ name, version }) => name !== order.model || version !== order.version);
        if (!remaining.some(({ name }) => name === order.model)) {
            this.target.cancelAttempts(this.target.active(order.model));
        }
        this.models = remaining;
        this.target.onChange();
        return this.answer("done");
    }

    private changeRole(role: EngineState["role"]): OrderAnswer {
        if (!this.settings.changesRole) {
            return this.refuse("this engine doesn't change its role");
        }
        if (role !== this.role) {
            this.target.cancelAttempts(this.target.active());
            this.role = role;
            this.target.onChange();
        }
        return this.answer("done");
    }

    private async fetchWeights(name: string, version: string): Promise<boolean> {
        if (this.settings.weightStore === undefined) {
            return true;
        }
        try {
            const url = `${this.settings.weightStore}/weights/${name}/${version}?bytes=${this.settings.weightBytes}`;
            const answer = await request(url, { headersTimeout: 0, bodyTimeout: 0 });
            await answer.body.dump();
            return answer.statusCode === 200;
        }
        catch {
            return false;
        }
    }

    private answer(outcome: "done" | "started"): OrderAnswer {
        return { outcome, highestFence: this.highestFence, message: "" };
    }

    private refuse(message: string): OrderAnswer {
        return { outcome: "refused", highestFence: this.highestFence, message };
    }
}
