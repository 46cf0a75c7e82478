import { expect } from "chai";
import { type Either, Right } from "purify-ts";
import {
    backendMessagePath,
    backendMessageSchema,
    type Command,
    type CommandResult,
    ControlClient,
    createSilentLogger,
    declarationSchema,
    HttpEngine,
    isViewCommand,
    OrderService,
    SystemClock,
    type Undecided,
    type View,
    ViewState,
} from "../../../packages/basilpaddle/src/node/index.js";
import { FakeEngine } from "../fakeEngine.js";
import { FakeWeightStore } from "../fakeWeightStore.js";
import { HttpServer, respondWithJson, wait } from "../httpServer.js";

const ownSession = { daemon: "entry-1", incarnation: "a" };
const timeoutMilliseconds = 20_000;

/** The control client of a single entry daemon: applies each command at once, as if control daemons were always reachable. */
class LocalControl extends ControlClient {
    readonly orders: string[] = [];
    private readonly state = ViewState.create();
    private readonly listeners = new Set<(view: View) => void>();
    private index = 0;

    apply(command: Command): CommandResult {
        this.index += 1;
        if (command.kind === "recordOrder") {
            this.orders.push(
                `${command.order.backend} ${command.order.action.split(" (")[0]} ${command.order.outcome}`,
            );
        }
        const result: CommandResult = isViewCommand(command)
            ? this.state.apply(this.index, command)
            : { kind: "done", index: this.index };
        this.listeners.forEach(listener => listener(this.view()));
        return result;
    }

    override session() {
        return ownSession;
    }

    override view(): View {
        return this.state.view();
    }

    override mayStart(): boolean {
        return true;
    }

    override onView(listener: (view: View) => void): () => void {
        this.listeners.add(listener);
        return () => this.listeners.delete(listener);
    }

    override propose(command: Command): Promise<Either<Undecided, CommandResult>> {
        return Promise.resolve(Right(this.apply(command)));
    }

    override recordRenewal(): void {}

    override async close(): Promise<void> {}
}

describe("a rollout over fake engines", () => {
    const control = new LocalControl();
    let listener: HttpServer;
    let store: FakeWeightStore;
    let engines: FakeEngine[] = [];
    let service: OrderService;

    function changeDeclaration(base: number, version: string, prefill: number): void {
        const pool = { models: [{ name: "m", version }], copies: { prefill, decode: 4 - prefill } };
        const declaration = declarationSchema.parse({ pools: { drafting: pool } });
        const change = { changeId: `c${base}`, operator: "ana", base, declaration, files: [], note: "" };
        control.apply({ kind: "changeConfiguration", change, at: 1 });
    }

    async function until(condition: () => boolean): Promise<void> {
        const deadline = performance.now() + timeoutMilliseconds;
        while (!condition() && performance.now() < deadline) {
            await wait(5);
        }
        expect(condition(), control.orders.join("; ")).to.equal(true);
    }

    function describeBackends(): string[] {
        return Object.values(control.view().backends).map(({ announcement, state }) =>
            `${announcement.role} ${state} ${announcement.models.map(({ version }) => version).join()}`
        ).sort();
    }

    before(async () => {
        listener = await HttpServer.create("127.0.0.1", async ({ path, body, response }) => {
            expect(path).to.equal(backendMessagePath);
            const message = backendMessageSchema.parse(JSON.parse(body));
            if (message.kind === "announce") {
                control.apply({ kind: "announceBackend", announcement: message.announcement, at: 1 });
            }
            respondWithJson(response, 200, { outcome: "accepted", renewAfter: 20 });
        });
        store = await FakeWeightStore.create({ rate: 1e9 });
        const shared = {
            pool: "drafting",
            models: [{ name: "m", version: "1" }],
            weightStore: store.url,
            weightBytes: 2e7,
            listeners: [listener.url.slice("http://".length)],
            orderLatency: 1,
        };
        engines = await Promise.all(
            [0, 1, 2, 3].map(n =>
                FakeEngine.create({ ...shared, id: `engine-${n}`, role: n < 2 ? "prefill" : "decode" })
            ),
        );
        const peers = { host: "127.0.0.1", port: 1 };
        control.apply({ kind: "openSession", session: ownSession, failureDomain: "a", peers, at: 1 });
        control.apply({ kind: "grantLease", lease: "orders", holder: ownSession, at: 1 });
        changeDeclaration(0, "1", 2);
        service = OrderService.create({
            control,
            engineAt: url => HttpEngine.create(url),
            clock: SystemClock.create(),
            logger: createSilentLogger(),
            timing: { viewLease: 50, clockDrift: 0.02 },
            limits: { orderTimeout: 400, retryPause: 10 },
            interval: 20,
        });
        await until(() => Object.keys(control.view().backends).length === 4);
    });

    after(async () => {
        await service.close();
        await Promise.all(engines.map(engine => engine.close()));
        await store.close();
        listener.destroy();
    });

    it("loads the new version on at most two engines at once, moves traffic, and unloads the old version", async () => {
        changeDeclaration(1, "2", 2);
        await until(() => describeBackends().every(engine => engine.endsWith("ready 2")));
        expect(control.view().served).to.deep.equal({ drafting: { m: "2" } });
        expect(store.loads.most).to.be.at.most(2);
        expect(store.loads.total).to.equal(4);
        const countDoneOrders = (what: string) => control.orders.filter(order => order.endsWith(`${what} done`)).length;
        await until(() => countDoneOrders("load m@2") === 4 && countDoneOrders("unload m@1") === 4);
    });

    it("changes the role of an engine after it was drained", async () => {
        changeDeclaration(2, "2", 1);
        await until(() => describeBackends().filter(engine => engine === "decode ready 2").length === 3);
        const changes = engines.flatMap(({ orders }) => orders.received).filter(({ order }) =>
            order.action === "changeRole"
        );
        expect(changes.length).to.equal(1);
        await until(() => control.orders.some(order => order.endsWith("changeRole decode done")));
    });
});
