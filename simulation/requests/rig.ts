import {
    CrashDetector,
    hasEnded,
    QuarantinedRequests,
} from "../../packages/basilpaddle/src/node/coordination/quarantine/index.js";
import {
    Answer,
    type AnswerEnd,
    AttemptIds,
    Cancellations,
    EngineClients,
    type GenerationRequest,
    LeavingBackends,
    type RequestDependencies,
    RequestDriver,
    type RequestEnd,
    RequestScope,
    RetryBudget,
    RunRecords,
} from "../../packages/basilpaddle/src/node/coordination/request/index.js";
import { quarantineRulesSchema } from "../../packages/basilpaddle/src/node/protocol/index.js";
import {
    createSilentLogger,
    SeededRandomness,
    SilentMetrics,
    SystemClock,
} from "../../packages/basilpaddle/src/node/utils/index.js";
import { until } from "../until.js";
import { FakePlacement } from "./fakePlacement.js";
import { announcement, FakeControl, FakeEngine, viewOf } from "./fakes.js";

/** Records the answer that a caller receives. */
export class RecordingAnswer extends Answer {
    readonly texts: string[] = [];
    finishes = 0;

    override appendToken(text: string): undefined {
        this.texts.push(text);
    }

    override toStoredAnswer(end: AnswerEnd) {
        return { status: 200, headers: {}, body: Buffer.from(`${this.texts.join("")} ${end.reason}`) };
    }

    override finish(): void {
        this.finishes++;
    }
}

/** A clock whose timers fire after a hundredth of their delay, so that tests don't wait for backoffs. */
class FastClock extends SystemClock {
    static override create(): FastClock {
        return new FastClock();
    }

    override after(milliseconds: number, callback: () => void): () => void {
        return super.after(milliseconds / 100, callback);
    }
}

/** A request driver with fakes of two prefill and two decode engines, the placement and the control client. */
export class Rig {
    answer = new RecordingAnswer();
    scope = RequestScope.create();

    private constructor(
        readonly engines: readonly FakeEngine[],
        readonly control: FakeControl,
        readonly placement: FakePlacement,
        readonly parts: RequestDependencies,
    ) {}

    static create(extra: object = {}): Rig {
        const engines = [
            new FakeEngine(announcement("p1", "prefill", extra)),
            new FakeEngine(announcement("p2", "prefill", extra)),
            new FakeEngine(announcement("d1", "decode", extra)),
            new FakeEngine(announcement("d2", "decode", extra)),
        ];
        const control = new FakeControl(viewOf(engines.map(engine => engine.announcement)));
        const placement = new FakePlacement(engines);
        const shared = {
            control,
            clock: FastClock.create(),
            randomness: SeededRandomness.create(1),
            logger: createSilentLogger(),
            metrics: SilentMetrics.create(),
        };
        const directory = EngineClients.create(url =>
            engines.find(engine => engine.announcement.url === url) as FakeEngine
        );
        return new Rig(engines, control, placement, {
            ...shared,
            failureDomain: "pocitos",
            placement,
            engines: directory,
            cancellations: Cancellations.create({ ...shared, engines: directory, view: () => control.view() }),
            runRecords: RunRecords.create(shared),
            leavingBackends: LeavingBackends.create(),
            retryBudget: RetryBudget.create(),
            crashDetector: CrashDetector.create({
                ...shared,
                quarantine: QuarantinedRequests.create({
                    rules: quarantineRulesSchema.parse({}),
                    ...shared,
                    publishRecords: () => undefined,
                }),
                isLost: life => hasEnded(control.view(), life),
                listenStatusOf: async () => "yes",
            }),
            attempts: AttemptIds.create(control.session()),
        });
    }

    engine(id: string): FakeEngine {
        return this.engines.find(engine => engine.announcement.id === id) as FakeEngine;
    }

    drive(extra: Partial<GenerationRequest>): Promise<RequestEnd> {
        this.answer = new RecordingAnswer();
        const now = this.parts.clock.monotonic();
        const generationRequest: GenerationRequest = {
            requestId: "r",
            pool: "drafting",
            organisation: "o",
            digest: "r",
            generation: { model: "draft", prompt: "a dossier", maxTokens: 10, priority: 100, sampling: {} },
            promptTokens: 3,
            prefixes: [],
            blockTokens: 64,
            expectedTokens: 5,
            receivedAt: now,
            deadlineAt: now + 3_000_000,
            targets: { firstToken: 1_500, perToken: 37 },
            run: undefined,
            ...extra,
        };
        return RequestDriver.drive(this.parts, generationRequest, this.answer, this.scope);
    }

    /** All stages that the engines ran, as `stage attempt`. */
    ranStages(): string[] {
        return this.engines.flatMap(engine => engine.ran.map(({ stage, attempt }) => `${stage} ${attempt}`));
    }

    /** Attempts with reservations or resources that weren't released. A transferred prefill result doesn't count: its engine evicts it. */
    unreleasedAttempts(): string[] {
        const handedOver = new Set(
            this.engines.flatMap(engine => engine.ran.filter(ran => ran.stage === "import").map(ran => ran.attempt)),
        );
        return [
            ...this.placement.reserved.keys(),
            ...this.engines.flatMap(({ announcement: { role }, attemptsHoldingResources: holds }) =>
                [...holds].filter(attempt => role === "decode" || !handedOver.has(attempt))
            ),
        ];
    }

    mark(id: string, state: "leaving" | "gone"): void {
        const view = this.control.view();
        const registered = view.backends[id] as (typeof view.backends)[string];
        this.control.setView({ ...view, backends: { ...view.backends, [id]: { ...registered, state } } });
    }

    /** Waits until every cancel is confirmed and every run record is decided. */
    async waitUntilSettled(): Promise<void> {
        await until("cancels confirmed", () => this.parts.cancellations.pendingCount === 0);
        await until("records decided", () => this.parts.runRecords.pendingCount === 0);
    }
}
