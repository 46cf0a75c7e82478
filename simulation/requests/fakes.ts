import { type Either, Left, Right } from "purify-ts";
import {
    ControlClient,
    Engine,
    type EngineFailure,
    type Undecided,
} from "../../packages/basilpaddle/src/node/coordination/index.js";
import {
    type Announcement,
    announcementSchema,
    type Command,
    type CommandResult,
    type DecodeLine,
    type EngineState,
    type Generation,
    type LoadReport,
    type OrderAnswer,
    type PrefillAnswer,
    type StoredAnswer,
    type View,
    viewSchema,
} from "../../packages/basilpaddle/src/node/protocol/index.js";

/** Fault to inject into one stage of a fake engine. */
export type Fault =
    /** Responds that nothing was run. */
    | "refuse"
    /** Responds that nothing was run, as there is no free slot. */
    | "full"
    /** Only import: responds that nothing was run, as the result of the prefill was evicted. */
    | "evicted"
    /** Runs the stage and reports a failure. */
    | "fail"
    /** The connection breaks before the engine receives the request. */
    | "loseBefore"
    /** The connection breaks after the engine ran the stage; the engine keeps the result. */
    | "loseAfter"
    /** Runs the stage and never responds. */
    | "hang"
    /** Only decode: the stream breaks after two tokens. */
    | "cut"
    /** Only decode: one token is missing, or every token is sent twice. */
    | "gap"
    | "repeat"
    /** Only decode: the end event is sent in place of the last token. */
    | "short"
    /** Only decode: the offset in the end event is lower than that of the last token. */
    | "early";
export type Stage = "prefill" | "import" | "decode";

const failure = (kind: EngineFailure["kind"], message: string, code?: string): Either<EngineFailure, never> =>
    Left({ kind, code, message });

/** A fake engine that records the stages it ran and the attempts it holds resources for. */
export class FakeEngine extends Engine {
    readonly ran: { readonly stage: Stage; readonly attempt: string; readonly prompt: string; }[] = [];
    readonly attemptsHoldingResources = new Set<string>();
    /** Faults to inject into the next calls of each stage, in order; undefined injects none. */
    readonly faults: Record<Stage, (Fault | undefined)[]> = { prefill: [], import: [], decode: [] };
    /** Number of the next cancels whose response is lost. */
    lostCancels = 0;
    cancels = 0;
    tokens = ["one", " two", " three", " four"];
    /** Awaited before each token. */
    beforeToken: () => Promise<void> = () => Promise.resolve();
    /** Called when a stage begins. */
    onStageBegun: (stage: Stage) => void = () => undefined;
    private readonly onCancel = new Map<string, () => void>();

    constructor(readonly announcement: Announcement) {
        super();
    }

    override prefill(attempt: string, generation: Generation, signal: AbortSignal) {
        const answer = { handle: `h/${attempt}`, promptTokens: 10, reusedTokens: 0, bytes: 100 };
        return this.work<PrefillAnswer>("prefill", attempt, generation.prompt, answer, signal);
    }

    override import(attempt: string, _source: unknown, generation: Generation, signal: AbortSignal) {
        return this.work("import", attempt, generation.prompt, { bytes: 100 }, signal);
    }

    override async *decode(attempt: string, offset: number, signal: AbortSignal) {
        this.onStageBegun("decode");
        // As in the protocol: offset 0 starts a run, and only a started run can be resumed.
        if (offset > 0 && !this.ran.some(ran => ran.stage === "decode" && ran.attempt === attempt)) {
            yield failure("failed", `can't decode from ${offset}`);
            return;
        }
        const fault = this.faults.decode.shift();
        if (fault === "full") {
            yield failure("notRun", fault, fault);
            return;
        }
        if (fault === "refuse" || fault === "loseBefore") {
            yield failure(fault === "refuse" ? "notRun" : "unknown", fault);
            return;
        }
        this.ran.push({ stage: "decode", attempt, prompt: "" });
        if (fault === "fail") {
            yield failure("failed", fault);
            return;
        }
        for (let position = offset; position < this.tokens.length; position++) {
            if (fault === "hang" || signal.aborted) {
                await aborted(signal);
                yield failure("unknown", "aborted");
                return;
            }
            if (fault === "cut" && position >= offset + 2) {
                yield failure("unknown", "cut");
                return;
            }
            if (fault === "short" && position === this.tokens.length - 1) {
                break;
            }
            await this.beforeToken();
            if (fault === "gap" && position === offset + 1) {
                continue;
            }
            const line: Either<EngineFailure, DecodeLine> = Right({
                kind: "token",
                offset: position,
                text: this.tokens[position] as string,
            });
            yield line;
            if (fault === "repeat") {
                yield line;
            }
        }
        if (fault === "loseAfter") {
            yield failure("unknown", fault);
            return;
        }
        this.attemptsHoldingResources.delete(attempt);
        const end: Either<EngineFailure, DecodeLine> = Right({
            kind: "end",
            offset: this.tokens.length - (fault === "early" ? 2 : 0),
            reason: "stop",
        });
        yield end;
    }

    override cancel(attempt: string): Promise<Either<EngineFailure, { readonly released: boolean; }>> {
        this.cancels++;
        if (this.lostCancels > 0) {
            this.lostCancels--;
            return Promise.resolve(failure("unknown", "lost"));
        }
        this.attemptsHoldingResources.delete(attempt);
        this.onCancel.get(attempt)?.();
        return Promise.resolve(Right({ released: true }));
    }

    override load(): Promise<Either<EngineFailure, LoadReport>> {
        return Promise.resolve(failure("notRun", "not asked here"));
    }

    override state(): Promise<Either<EngineFailure, EngineState>> {
        return Promise.resolve(failure("notRun", "not asked here"));
    }

    override order(): Promise<Either<EngineFailure, OrderAnswer>> {
        return Promise.resolve(failure("notRun", "not asked here"));
    }

    override close(): Promise<void> {
        return Promise.resolve();
    }

    private async work<Answer>(
        stage: Stage,
        attempt: string,
        prompt: string,
        answer: Answer,
        signal: AbortSignal,
    ): Promise<Either<EngineFailure, Answer>> {
        const fault = this.faults[stage].shift();
        if (fault === "full" || fault === "evicted") {
            this.onStageBegun(stage);
            return failure("notRun", fault, fault);
        }
        if (fault === "refuse" || fault === "loseBefore") {
            this.onStageBegun(stage);
            return failure(fault === "refuse" ? "notRun" : "unknown", fault);
        }
        this.ran.push({ stage, attempt, prompt });
        this.attemptsHoldingResources.add(attempt);
        this.onStageBegun(stage);
        if (fault === "fail") {
            this.attemptsHoldingResources.delete(attempt);
            return failure("failed", fault);
        }
        if (fault === "hang") {
            await aborted(signal);
        }
        return fault === "loseAfter" || fault === "hang" ? failure("unknown", fault) : Right(answer);
    }
}

function aborted(signal: AbortSignal): Promise<void> {
    return new Promise(resolve => {
        if (signal.aborted) {
            resolve();
            return;
        }
        signal.addEventListener("abort", () => resolve(), { once: true });
    });
}

export function announcement(id: string, role: Announcement["role"], extra: object = {}): Announcement {
    return announcementSchema.parse({
        id,
        incarnation: 1,
        url: `http://127.0.0.1:1/${id}`,
        failureDomain: "pocitos",
        role,
        pool: "drafting",
        slots: 20,
        abilities: { resume: true },
        ...extra,
    });
}

/** A view with one pool, one route for non-idempotent requests, and the given backend servers. */
export function viewOf(backends: readonly Announcement[], declaration: object = {}): View {
    return viewSchema.parse({
        index: 1,
        configuration: {
            revision: 1,
            changeId: "c",
            operator: "o",
            declaration: {
                pools: { drafting: { models: [{ name: "draft", version: "1" }], copies: { prefill: 1, decode: 1 } } },
                routes: [{ name: "letters", organisation: "letters", nonIdempotent: true }],
                ...declaration,
            },
        },
        sessions: {},
        leases: {},
        backends: Object.fromEntries(backends.map(backend => [backend.id, { announcement: backend, state: "ready" }])),
    });
}

type FakeRun = {
    readonly token: string;
    readonly digest: string;
    state: "running" | "answered" | "notRun" | "failedAfterStarting" | "unknown";
    answer?: StoredAnswer;
};

/** A fake control client that applies commands itself; tests can withdraw its confirmation and lose its proposals. */
export class FakeControl extends ControlClient {
    confirmed = true;
    readonly runs = new Map<string, FakeRun>();
    readonly commands: Command[] = [];
    readonly renewals: string[] = [];
    /** The next proposals are lost, before or after they are committed. */
    readonly lost: ("before" | "after")[] = [];
    private readonly listeners = new Set<(view: View) => void>();

    constructor(private current: View) {
        super();
    }

    override session() {
        return { daemon: "entry-1", incarnation: "first" };
    }

    override view(): View {
        return this.current;
    }

    setView(view: View): void {
        this.current = { ...view, index: this.current.index + 1 };
        this.listeners.forEach(listener => listener(this.current));
    }

    override mayStart(): boolean {
        return this.confirmed;
    }

    override onView(listener: (view: View) => void): () => void {
        this.listeners.add(listener);
        return () => this.listeners.delete(listener);
    }

    override async propose(command: Command): Promise<Either<Undecided, CommandResult>> {
        await Promise.resolve();
        this.commands.push(command);
        const lost = this.lost.shift();
        if (lost === "before") {
            return Left({ kind: "undecided", reason: "lost" });
        }
        const result = this.apply(command);
        return lost === "after" ? Left({ kind: "undecided", reason: "lost" }) : Right(result);
    }

    override recordRenewal(id: string): void {
        this.renewals.push(id);
    }

    override close(): Promise<void> {
        return Promise.resolve();
    }

    private apply(command: Command): CommandResult {
        if (command.kind === "announceBackend") {
            const { announcement: backend } = command;
            this.setView({
                ...this.current,
                backends: { ...this.current.backends, [backend.id]: { announcement: backend, state: "ready" } },
            });
        }
        if (command.kind === "startRun") {
            const known = this.runs.get(command.key);
            if (known !== undefined) {
                const { state, answer } = known;
                const sameDigest = known.digest === command.digest;
                return { kind: "known", state, owner: this.session(), sameDigest, answer };
            }
            this.runs.set(command.key, { token: command.token, digest: command.digest, state: "running" });
            return { kind: "started" };
        }
        if (command.kind === "finishRun") {
            const run = this.runs.get(command.key);
            if (run?.token === command.token) {
                run.state = command.result;
                run.answer = command.answer;
            }
        }
        if (command.kind === "releaseRun" && this.runs.get(command.key)?.token === command.token) {
            this.runs.delete(command.key);
        }
        return { kind: "done", index: 1 };
    }
}
