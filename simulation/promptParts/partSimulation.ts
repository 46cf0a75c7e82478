import { SeededRandomness } from "../../packages/basilpaddle/src/node/utils/index.js";
import { dayLength, type PartDay, poisonFrom, poisonUntil } from "./day.js";
import { EventClock } from "./eventClock.js";
import type { PartRequest, Way } from "./ways.js";

/** Milliseconds from a run's start to its first event, from there to its last one, and until a crashed engine is back. */
const firstEventMilliseconds = [60, 140] as const;
const lastEventMilliseconds = [1_000, 4_000] as const;
const restartMilliseconds = 2_500;
const eventMilliseconds = 50;
const begunMilliseconds = 250;
const prefillMilliseconds = 100;
/** Milliseconds between crashes of another cause: of single engines, of thirds or all of them, and from one engine to the next. */
const singleIntervalMilliseconds = 1_500;
const groupIntervalMilliseconds = 8_000;
const rollingMilliseconds = 800;
/** Milliseconds after the fifth crash after which poison requests count as late, and from which harmless ones are compared. */
const lateMilliseconds = 3_000;
const recoveredMilliseconds = 6_000;
const fifth = 5;

/** Results of a day. */
export type PartOutcome = {
    /** Engines that ended under poison requests, and poison requests that reached engines, in all and late. */
    readonly crashes: number;
    readonly reached: number;
    readonly late: number;
    /** Share of the harmless requests that began at the first attempt, from six seconds after the fifth crash on, or in all. */
    readonly begun: number;
    /** Harmless parts that some gateway quarantined at any time. */
    readonly wronglyQuarantined: number;
    /** Messages per second between gateways and a directory. */
    readonly messages: number;
};

type Run = {
    readonly request: PartRequest;
    readonly gateway: number;
    readonly firstAt: number;
    readonly isPoison: boolean;
};

/** Emulates the streams of a day, with the engines' crashes, beside one way to quarantine parts. */
class PartSimulation {
    private readonly random: SeededRandomness;
    private readonly engines = new Map<string, Set<Run>>();
    private readonly wronglyQuarantined = new Set<string>();
    private readonly crashTimes: number[] = [];
    private readonly reachedAt: number[] = [];
    private readonly harmless: { readonly at: number; readonly begun: boolean; }[] = [];
    private startedEngines = 0;
    private created = 0;

    constructor(
        private readonly day: PartDay,
        private readonly way: Way,
        private readonly clock: EventClock,
        seed: number,
    ) {
        this.random = SeededRandomness.create(seed);
    }

    run(): PartOutcome {
        const { day, clock } = this;
        for (let engine = 0; engine < day.engines; engine++) {
            this.startEngine();
        }
        this.repeat(1_000 / day.harmlessPerSecond, () => this.send(false, 1));
        this.repeat(200, () => this.noteWronglyQuarantined());
        this.scheduleOtherCrashes();
        if (day.poisonPerSecond > 0) {
            clock.after(poisonFrom, () => this.repeat(1_000 / day.poisonPerSecond, () => this.sendPoison()));
        }
        clock.runUntil(dayLength);
        const fifthAt = this.crashTimes[fifth - 1] ?? Infinity;
        const from = day.poisonPerSecond === 0 ? 0 : Math.min(fifthAt, poisonUntil) + recoveredMilliseconds;
        const compared = this.harmless.filter(({ at }) => at > from);
        return {
            crashes: this.crashTimes.length,
            reached: this.reachedAt.length,
            late: this.reachedAt.filter(at => at > fifthAt + lateMilliseconds).length,
            begun: compared.filter(({ begun }) => begun).length / Math.max(1, compared.length),
            wronglyQuarantined: this.wronglyQuarantined.size,
            messages: this.way.messages / (dayLength / 1_000),
        };
    }

    private sendPoison(): void {
        if (this.clock.monotonic() < poisonUntil) {
            this.send(true, this.day.attempts);
        }
    }

    private createRequest(isPoison: boolean): PartRequest {
        const { day, random } = this;
        this.created += 1;
        const shared = `first${random.integer(1, day.firstParts)}`;
        const poison = `poison${random.integer(1, day.poisonParts)}`;
        const parts = isPoison
            ? (day.poisonFirst ? [poison, shared] : [shared, poison])
            : [shared, `session${random.integer(1, day.sessions)}`];
        return { attempt: `a${this.created}`, digest: `d${this.created}`, parts: parts.map(part => `part:${part}`) };
    }

    private send(isPoison: boolean, attempts: number, request = this.createRequest(isPoison)): void {
        const gateway = this.random.integer(0, this.day.gateways - 1);
        if (this.way.mayRun(gateway, request)) {
            this.clock.after(prefillMilliseconds, () => this.start(request, gateway, isPoison, attempts));
        }
        else if (!isPoison) {
            this.harmless.push({ at: this.clock.monotonic(), begun: false });
        }
    }

    private start(request: PartRequest, gateway: number, isPoison: boolean, attempts: number): void {
        const names = [...this.engines.keys()];
        const engine = names[this.random.integer(0, names.length - 1)];
        if (engine === undefined || !this.way.mayRun(gateway, request)) {
            if (!isPoison) {
                this.harmless.push({ at: this.clock.monotonic(), begun: false });
            }
            return;
        }
        const { clock, day } = this;
        const firstAfter = this.between(firstEventMilliseconds);
        const run = { request, gateway, firstAt: clock.monotonic() + firstAfter, isPoison };
        const runs = this.engines.get(engine)!;
        runs.add(run);
        if (isPoison) {
            this.reachedAt.push(clock.monotonic());
        }
        const crashes = isPoison && this.random.fraction() < day.crashRate;
        if (crashes) {
            clock.after(
                firstAfter + eventMilliseconds * day.eventsBefore,
                () => this.crashUnder(engine, run, attempts),
            );
            return;
        }
        clock.after(firstAfter, () => {
            if (!isPoison) {
                this.harmless.push({ at: clock.monotonic(), begun: runs.has(run) });
            }
        });
        clock.after(firstAfter + begunMilliseconds, () => {
            if (runs.has(run)) {
                this.way.recordBegun(gateway, request);
            }
        });
        clock.after(firstAfter + this.between(lastEventMilliseconds), () => runs.delete(run));
    }

    private crashUnder(engine: string, run: Run, attempts: number): void {
        if (this.engines.get(engine)?.has(run) === true) {
            this.crashTimes.push(this.clock.monotonic());
            this.crash(engine);
        }
        if (attempts > 1) {
            this.clock.after(eventMilliseconds, () => this.send(true, attempts - 1, run.request));
        }
    }

    private crash(engine: string): void {
        const runs = this.engines.get(engine);
        if (runs === undefined) {
            return;
        }
        this.engines.delete(engine);
        const now = this.clock.monotonic();
        for (const { request, gateway, firstAt, isPoison } of runs) {
            const phase = firstAt > now || isPoison && this.day.eventsBefore === 0 ? "early" : "late";
            const hadBegun = now >= firstAt + begunMilliseconds;
            this.way.recordCrash(gateway, request, { server: engine, phase, hadBegun });
        }
        runs.clear();
        this.clock.after(restartMilliseconds, () => this.startEngine());
    }

    private scheduleOtherCrashes(): void {
        const crashGroup = (share: number, gap: number): void => {
            [...this.engines.keys()].filter(() => this.random.fraction() < share)
                .forEach((engine, index) => this.clock.after(gap * index, () => this.crash(engine)));
        };
        switch (this.day.otherCrashes) {
            case "none":
                return;
            case "single":
                return this.repeat(singleIntervalMilliseconds, () => crashGroup(1 / this.day.engines, 0));
            case "third":
                return this.repeat(groupIntervalMilliseconds, () => crashGroup(1 / 3, 0));
            case "rolling":
                return this.repeat(groupIntervalMilliseconds, () => crashGroup(1, rollingMilliseconds));
            case "all":
                return this.repeat(groupIntervalMilliseconds, () => crashGroup(1, 0));
        }
    }

    private noteWronglyQuarantined(): void {
        this.way.quarantined().filter(name => /^part:(first|session)/.test(name)).forEach(name =>
            this.wronglyQuarantined.add(name)
        );
    }

    private startEngine(): void {
        this.startedEngines += 1;
        this.engines.set(`engine${this.startedEngines}`, new Set());
    }

    private repeat(interval: number, act: () => void): void {
        this.clock.after(interval * 2 * this.random.fraction(), () => {
            act();
            this.repeat(interval, act);
        });
    }

    private between([min, max]: readonly [number, number]): number {
        return this.random.integer(min, max);
    }
}

/** Emulates one day beside one way. */
export function simulateParts(
    day: PartDay,
    createWay: (clock: EventClock, gateways: number) => Way,
    seed: number,
): PartOutcome {
    const clock = EventClock.create();
    return new PartSimulation(day, createWay(clock, day.gateways), clock, seed).run();
}
