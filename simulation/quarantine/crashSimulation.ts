import {
    Quarantine,
    type QuarantineStatus,
} from "../../packages/basilpaddle/src/node/coordination/quarantine/quarantine.js";
import { quarantineRulesSchema } from "../../packages/basilpaddle/src/node/protocol/index.js";
import { SeededRandomness } from "../../packages/basilpaddle/src/node/utils/index.js";

/** Engines of the pool, and the delay after which a crashed one is replaced by one with another name. */
const engineCount = 13;
const restartDelayMilliseconds = 4_000;
/** Minimum and maximum time from the start of a run to its first and to its last event. */
const firstEventMilliseconds = [10, 150] as const;
const lastEventMilliseconds = [300, 6_000] as const;
/** Minimum and maximum time from the start of a poison request's run to the crash of its engine. */
const poisonCrashMilliseconds = [30, 130] as const;
/** Minimum and maximum delay before a caller retries a failed request. */
const retryDelayMilliseconds = [100, 1_500] as const;
/** Fractions of the requests that share a few contents, that can resume at another engine, and whose callers retry often. */
const commonContentFraction = 0.1;
const commonContentCount = 5;
const resumableFraction = 0.33;
const persistentFraction = 0.1;
const persistentAttempts = 12;
/** Maximum interval between two sends of a poison request. */
const maxPoisonIntervalMilliseconds = 2_500;

/** Which engines crash independently of the requests that they run. */
export type CrashPattern = "none" | "single" | "third" | "rolling";

/** Parameters of a simulated day. */
export type CrashDay = {
    readonly seed: number;
    readonly milliseconds: number;
    readonly requestsPerSecond: number;
    readonly pattern: CrashPattern;
    /** Number of requests that crash every engine that runs them. */
    readonly poisonRequests: number;
};

/** Results of a simulated day. */
export type CrashOutcome = {
    /** Requests of callers, not counting retries. */
    readonly requests: number;
    /** Distinct contents of these requests that lost a run when its engine crashed. */
    readonly affected: number;
    /** Distinct contents that were quarantined although they crash no engine. */
    readonly wronglyQuarantined: number;
    /** Crashes that each poison request caused. */
    readonly crashesPerPoisonRequest: readonly number[];
};

type Run = { readonly content: string; readonly engine: string; readonly startedAt: number; readonly firstAt: number; };
type Caller = { readonly content: string; readonly attemptsLeft: number; readonly resumesLeft: number; };

/**
 * Discrete-event simulation of callers, engines and a single quarantine that stands for the copies of all gateways. Measures
 * how often requests are quarantined that were only affected by crashes of others, and how many crashes a poison request causes.
 */
export class CrashSimulation {
    private readonly random: SeededRandomness;
    private readonly quarantine = Quarantine.create(quarantineRulesSchema.parse({}));
    private readonly events: { readonly at: number; readonly act: () => void; }[] = [];
    private readonly running = new Map<string, Set<Run>>();
    private readonly answered = new Set<string>();
    private readonly affected = new Set<string>();
    private readonly quarantined = new Set<string>();
    private readonly crashes = new Map<string, number>();
    private now = 0;
    private requests = 0;
    private startedEngines = 0;

    private constructor(private readonly day: CrashDay) {
        this.random = SeededRandomness.create(day.seed);
    }

    /** Simulates a whole day. */
    static simulate(day: CrashDay): CrashOutcome {
        const simulation = new CrashSimulation(day);
        simulation.scheduleInitialEvents();
        simulation.processEvents();
        return {
            requests: simulation.requests,
            affected: simulation.affected.size,
            wronglyQuarantined: simulation.quarantined.size,
            crashesPerPoisonRequest: Array.from(
                { length: day.poisonRequests },
                (_, index) => simulation.crashes.get(`poison${index}`) ?? 0,
            ),
        };
    }

    private scheduleInitialEvents(): void {
        Array.from({ length: engineCount }, () => this.startEngine());
        this.repeatEvery(1_000 / this.day.requestsPerSecond, () => this.sendNewRequest());
        this.repeatEvery(20_000, () => this.crashByPattern());
        for (let index = 0; index < this.day.poisonRequests; index++) {
            this.sendPoisonRepeatedly(`poison${index}`);
        }
    }

    private processEvents(): void {
        while (this.events.length > 0 && this.now < this.day.milliseconds) {
            let next = 0;
            this.events.forEach(({ at }, index) => {
                next = at < this.events[next]!.at ? index : next;
            });
            const [event] = this.events.splice(next, 1);
            this.now = event!.at;
            event!.act();
        }
    }

    private sendNewRequest(): void {
        this.requests += 1;
        const isCommon = this.random.fraction() < commonContentFraction;
        const content = isCommon ? `common${this.random.integer(1, commonContentCount)}` : `own${this.requests}`;
        const attemptsLeft = this.random.fraction() < persistentFraction ? persistentAttempts : 2;
        this.send({ content, attemptsLeft, resumesLeft: this.random.fraction() < resumableFraction ? 1 : 0 });
    }

    private sendPoisonRepeatedly(content: string): void {
        this.send({ content, attemptsLeft: 1, resumesLeft: 0 });
        this.after(this.random.integer(50, maxPoisonIntervalMilliseconds), () => this.sendPoisonRepeatedly(content));
    }

    private send(caller: Caller): void {
        const status: QuarantineStatus | undefined = this.quarantine.currentStatus(caller.content, this.now);
        if (status !== undefined) {
            if (!caller.content.startsWith("poison")) {
                this.quarantined.add(caller.content);
            }
            return;
        }
        const engines = [...this.running.keys()];
        const engine = engines[this.random.integer(0, engines.length - 1)];
        if (engine === undefined) {
            this.retryLater(caller);
            return;
        }
        const run = {
            content: caller.content,
            engine,
            startedAt: this.now,
            firstAt: this.now + this.randomBetween(firstEventMilliseconds),
        };
        this.running.get(engine)!.add(run);
        this.scheduleEnd(run, caller);
    }

    private scheduleEnd(run: Run, caller: Caller): void {
        if (run.content.startsWith("poison")) {
            this.after(this.randomBetween(poisonCrashMilliseconds), () => {
                if (this.running.has(run.engine)) {
                    this.crashes.set(run.content, (this.crashes.get(run.content) ?? 0) + 1);
                    this.crash(run.engine);
                }
            });
            return;
        }
        const end = this.randomBetween(lastEventMilliseconds);
        this.after(end, () => {
            if (this.running.get(run.engine)?.delete(run) === true) {
                this.recordAnswer(run);
            }
            else {
                this.handleFailure(run, caller);
            }
        });
    }

    private recordAnswer({ content }: Run): void {
        this.answered.add(content);
        this.quarantine.merge([{ digest: content, crashes: [], clearedAge: 0 }], this.now);
    }

    private handleFailure(run: Run, caller: Caller): void {
        this.affected.add(run.content);
        if (caller.resumesLeft > 0) {
            this.send({ ...caller, resumesLeft: caller.resumesLeft - 1 });
        }
        else {
            this.retryLater(caller);
        }
    }

    private retryLater(caller: Caller): void {
        if (caller.attemptsLeft > 1) {
            this.after(
                this.randomBetween(retryDelayMilliseconds),
                () => this.send({ ...caller, attemptsLeft: caller.attemptsLeft - 1 }),
            );
        }
    }

    private crashByPattern(): void {
        const alive = [...this.running.keys()];
        const affectedEngines = alive.filter(() => this.random.fraction() < 1 / 3);
        switch (this.day.pattern) {
            case "none":
                return;
            case "single":
                affectedEngines.slice(0, 1).forEach(engine => this.crash(engine));
                return;
            case "third":
                affectedEngines.forEach(engine => this.crash(engine));
                return;
            case "rolling":
                alive.forEach((engine, index) => this.after(800 * index, () => this.crash(engine)));
        }
    }

    private crash(engine: string): void {
        const lost = this.running.get(engine);
        if (lost === undefined) {
            return;
        }
        this.running.delete(engine);
        for (const { content, firstAt } of lost) {
            if (!this.answered.has(content)) {
                const crash = { server: engine, phase: firstAt > this.now ? "early" : "late", age: 0 } as const;
                this.quarantine.merge([{ digest: content, crashes: [crash] }], this.now);
            }
        }
        this.after(restartDelayMilliseconds, () => this.startEngine());
    }

    private startEngine(): void {
        this.startedEngines += 1;
        this.running.set(`engine${this.startedEngines}`, new Set());
    }

    private repeatEvery(interval: number, act: () => void): void {
        this.after(interval * 2 * this.random.fraction(), () => {
            act();
            this.repeatEvery(interval, act);
        });
    }

    private after(milliseconds: number, act: () => void): void {
        this.events.push({ at: this.now + milliseconds, act });
    }

    private randomBetween([min, max]: readonly [number, number]): number {
        return this.random.integer(min, max);
    }
}
