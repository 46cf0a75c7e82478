import { type Hold, Quarantine } from "../../packages/basilpaddle/src/node/coordination/quarantine/quarantine.js";
import { holdRulesSchema } from "../../packages/basilpaddle/src/node/protocol/index.js";
import { SeededRandomness } from "../../packages/basilpaddle/src/node/utils/index.js";

/** Engines of the pool, and milliseconds after which one that crashed is back under another name. */
const engineCount = 13;
const downTime = 4_000;
/** Milliseconds from the start of a run to its first event and to its last one, at the least and at the most. */
const firstEvent = [10, 150] as const;
const lastEvent = [300, 6_000] as const;
/** Milliseconds from the start of a deadly run to the end of its engine. */
const deadlyTime = [30, 130] as const;
/** Milliseconds after which a caller comes back whose request failed. */
const comeBack = [100, 1_500] as const;
/** Parts of the requests that are of few contents, that may go on elsewhere, and whose callers come back again and again. */
const commonPart = 0.1;
const commonContents = 5;
const resumablePart = 0.33;
const persistentPart = 0.1;
const persistentTries = 12;
/** Milliseconds after which a deadly request comes again, at the most. */
const deadlyInterval = 2_500;

/** How engines crash by themselves on one day. */
export type CrashPattern = "none" | "single" | "third" | "rolling";

/** What one day is made of. */
export type CrashDay = {
    readonly seed: number;
    readonly milliseconds: number;
    readonly requestsPerSecond: number;
    readonly pattern: CrashPattern;
    /** Requests that crash each engine that runs them. */
    readonly deadly: number;
};

/** What came of it. */
export type CrashOutcome = {
    /** Requests of callers, each counted once however often it came. */
    readonly requests: number;
    /** Of these, such as lost a run with its engine. */
    readonly hit: number;
    /** Such as were held back though nothing was wrong with them. */
    readonly innocentHeld: number;
    /** Crashes that deadly requests caused, for each of them. */
    readonly crashesOfEach: readonly number[];
};

type Run = { readonly content: string; readonly engine: string; readonly startedAt: number; readonly firstAt: number; };
type Caller = { readonly content: string; readonly tries: number; readonly moves: number; };

/**
 * Plays callers, engines and one copy of what all gateways know, as events in time. It answers how often requests are held
 * back that are only hit by the crashes of others, and how many crashes a deadly one costs.
 */
export class CrashPlay {
    private readonly random: SeededRandomness;
    private readonly quarantine = Quarantine.create(holdRulesSchema.parse({}));
    private readonly events: { readonly at: number; readonly act: () => void; }[] = [];
    private readonly running = new Map<string, Set<Run>>();
    private readonly answered = new Set<string>();
    private readonly hit = new Set<string>();
    private readonly held = new Set<string>();
    private readonly crashes = new Map<string, number>();
    private now = 0;
    private requests = 0;
    private lives = 0;

    private constructor(private readonly day: CrashDay) {
        this.random = SeededRandomness.create(day.seed);
    }

    /** Plays a whole day. */
    static play(day: CrashDay): CrashOutcome {
        const play = new CrashPlay(day);
        play.begin();
        play.run();
        return {
            requests: play.requests,
            hit: play.hit.size,
            innocentHeld: play.held.size,
            crashesOfEach: Array.from({ length: day.deadly }, (_, index) => play.crashes.get(`deadly${index}`) ?? 0),
        };
    }

    private begin(): void {
        Array.from({ length: engineCount }, () => this.startEngine());
        this.every(1_000 / this.day.requestsPerSecond, () => this.newRequest());
        this.every(20_000, () => this.crashSome());
        for (let index = 0; index < this.day.deadly; index++) {
            this.repeatDeadly(`deadly${index}`);
        }
    }

    private run(): void {
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

    private newRequest(): void {
        this.requests += 1;
        const isCommon = this.random.fraction() < commonPart;
        const content = isCommon ? `common${this.random.integer(1, commonContents)}` : `own${this.requests}`;
        const tries = this.random.fraction() < persistentPart ? persistentTries : 2;
        this.send({ content, tries, moves: this.random.fraction() < resumablePart ? 1 : 0 });
    }

    private repeatDeadly(content: string): void {
        this.send({ content, tries: 1, moves: 0 });
        this.after(this.random.integer(50, deadlyInterval), () => this.repeatDeadly(content));
    }

    private send(caller: Caller): void {
        const hold: Hold | undefined = this.quarantine.hold(caller.content, this.now);
        if (hold !== undefined) {
            if (!caller.content.startsWith("deadly")) {
                this.held.add(caller.content);
            }
            return;
        }
        const engines = [...this.running.keys()];
        const engine = engines[this.random.integer(0, engines.length - 1)];
        if (engine === undefined) {
            this.later(caller);
            return;
        }
        const run = {
            content: caller.content,
            engine,
            startedAt: this.now,
            firstAt: this.now + this.between(firstEvent),
        };
        this.running.get(engine)!.add(run);
        this.follow(run, caller);
    }

    private follow(run: Run, caller: Caller): void {
        if (run.content.startsWith("deadly")) {
            this.after(this.between(deadlyTime), () => {
                if (this.running.has(run.engine)) {
                    this.crashes.set(run.content, (this.crashes.get(run.content) ?? 0) + 1);
                    this.crash(run.engine);
                }
            });
            return;
        }
        const end = this.between(lastEvent);
        this.after(end, () => {
            if (this.running.get(run.engine)?.delete(run) === true) {
                this.finish(run);
            }
            else {
                this.failed(run, caller);
            }
        });
    }

    private finish({ content }: Run): void {
        this.answered.add(content);
        this.quarantine.merge([{ digest: content, crashes: [], clearedAge: 0 }], this.now);
    }

    private failed(run: Run, caller: Caller): void {
        this.hit.add(run.content);
        if (caller.moves > 0) {
            this.send({ ...caller, moves: caller.moves - 1 });
        }
        else {
            this.later(caller);
        }
    }

    private later(caller: Caller): void {
        if (caller.tries > 1) {
            this.after(this.between(comeBack), () => this.send({ ...caller, tries: caller.tries - 1 }));
        }
    }

    private crashSome(): void {
        const alive = [...this.running.keys()];
        const some = alive.filter(() => this.random.fraction() < 1 / 3);
        switch (this.day.pattern) {
            case "none":
                return;
            case "single":
                some.slice(0, 1).forEach(engine => this.crash(engine));
                return;
            case "third":
                some.forEach(engine => this.crash(engine));
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
        this.after(downTime, () => this.startEngine());
    }

    private startEngine(): void {
        this.lives += 1;
        this.running.set(`engine${this.lives}`, new Set());
    }

    private every(interval: number, act: () => void): void {
        this.after(interval * 2 * this.random.fraction(), () => {
            act();
            this.every(interval, act);
        });
    }

    private after(milliseconds: number, act: () => void): void {
        this.events.push({ at: this.now + milliseconds, act });
    }

    private between([least, most]: readonly [number, number]): number {
        return this.random.integer(least, most);
    }
}
