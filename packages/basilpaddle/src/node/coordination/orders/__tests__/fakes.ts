import { type Either, Left, Right } from "purify-ts";
import type {
    Announcement,
    Command,
    CommandResult,
    EngineState,
    Incarnation,
    Order,
    OrderAnswer,
    View,
} from "../../../protocol/index.js";
import { ControlClient, type Undecided } from "../../controlClient.js";
import { Engine, type EngineFailure } from "../../engine/index.js";

type OrderRecord = Extract<Command, { kind: "recordOrder"; }>["order"];

/** Control daemons that accept every command, or leave it undecided while `undecided` is set. */
export class FakeControl extends ControlClient {
    readonly proposed: Command[] = [];
    mayStartWork = true;
    undecided = false;
    /** Called before each proposal is answered. */
    onPropose: (command: Command) => void = () => {};
    private readonly listeners = new Set<(view: View) => void>();

    constructor(private current: View, private readonly own: Incarnation) {
        super();
    }

    /** Outcomes in the audit trail, in order. */
    outcomes(): string[] {
        return this.proposed.flatMap(command => command.kind === "recordOrder" ? [command.order.outcome] : []);
    }

    records(): OrderRecord[] {
        return this.proposed.flatMap(command => command.kind === "recordOrder" ? [command.order] : []);
    }

    publishView(view: View): void {
        this.current = view;
        this.listeners.forEach(listener => listener(view));
    }

    override session(): Incarnation {
        return this.own;
    }

    override view(): View {
        return this.current;
    }

    override mayStart(): boolean {
        return this.mayStartWork;
    }

    override onView(listener: (view: View) => void): () => void {
        this.listeners.add(listener);
        return () => this.listeners.delete(listener);
    }

    override async propose(command: Command): Promise<Either<Undecided, CommandResult>> {
        this.onPropose(command);
        if (this.undecided) {
            return Left({ kind: "undecided", reason: "no leader" });
        }
        this.proposed.push(command);
        return Right({ kind: "done", index: this.proposed.length });
    }

    override recordRenewal(): void {}

    override async close(): Promise<void> {}
}

/** An engine that supports state readings and orders only. */
export class FakeOrderEngine extends Engine {
    readonly receivedOrders: { readonly orderId: string; readonly fence: number; readonly order: Order; }[] = [];
    stateReads = 0;
    answer: Either<EngineFailure, OrderAnswer> = Right({ outcome: "started", highestFence: 0, message: "" });
    /** Called before each reading is answered. */
    onState: () => Promise<void> | void = () => {};

    constructor(readonly announcement: Announcement, public current: EngineState) {
        super();
    }

    override async state(): Promise<Either<EngineFailure, EngineState>> {
        this.stateReads += 1;
        await this.onState();
        return Right(this.current);
    }

    override async order(orderId: string, fence: number, order: Order): Promise<Either<EngineFailure, OrderAnswer>> {
        this.receivedOrders.push({ orderId, fence, order });
        return this.answer;
    }

    override prefill(): never {
        throw new Error("not supported by this fake");
    }

    override import(): never {
        throw new Error("not supported by this fake");
    }

    override decode(): never {
        throw new Error("not supported by this fake");
    }

    override cancel(): never {
        throw new Error("not supported by this fake");
    }

    override load(): never {
        throw new Error("not supported by this fake");
    }

    override async close(): Promise<void> {}
}
