import { Worker } from "node:worker_threads";
import type { Day } from "../places/day.js";
import { simulateDay } from "../places/daySimulation.js";
import type { PoolOutcome } from "../places/outcome.js";
import type { Variant } from "./variant.js";

/** One day under one variant with one seed. */
export type Task = { readonly day: Day; readonly variant: Variant; readonly seed: number; };

/** Plays tasks; outcomes come in the order of the tasks. */
export abstract class Player {
    /** `onPlayed` is called after each task. */
    abstract play(tasks: readonly Task[], onPlayed: () => void): Promise<readonly PoolOutcome[]>;
}

/** Plays in this thread, one task after the other. */
export class InlinePlayer extends Player {
    static create(): InlinePlayer {
        return new InlinePlayer();
    }

    override async play(tasks: readonly Task[], onPlayed: () => void): Promise<readonly PoolOutcome[]> {
        return tasks.map(task => {
            const outcome = playTask(task);
            onPlayed();
            return outcome;
        });
    }
}

/** Plays in several threads at once. */
export class ThreadPlayer extends Player {
    private constructor(private readonly threads: number) {
        super();
    }

    static create(threads: number): ThreadPlayer {
        return new ThreadPlayer(threads);
    }

    override async play(tasks: readonly Task[], onPlayed: () => void): Promise<readonly PoolOutcome[]> {
        const outcomes = new Array<PoolOutcome>(tasks.length);
        let next = 0;
        const workOff = async (): Promise<void> => {
            const thread = new Worker(new URL("./thread.js", import.meta.url));
            try {
                while (next < tasks.length) {
                    const position = next;
                    next += 1;
                    outcomes[position] = await ask(thread, tasks[position]!);
                    onPlayed();
                }
            }
            finally {
                await thread.terminate();
            }
        };
        await Promise.all(Array.from({ length: Math.min(this.threads, tasks.length) }, workOff));
        return outcomes;
    }
}

/** Plays one task here. */
export function playTask({ day, variant, seed }: Task): PoolOutcome {
    return simulateDay(day, seed, variant.tuning);
}

function ask(thread: Worker, task: Task): Promise<PoolOutcome> {
    return new Promise((resolve, reject) => {
        const settle = (act: () => void): void => {
            thread.off("message", answered);
            thread.off("error", failed);
            act();
        };
        const answered = (outcome: PoolOutcome): void => settle(() => resolve(outcome));
        const failed = (error: Error): void => settle(() => reject(error));
        thread.on("message", answered);
        thread.on("error", failed);
        thread.postMessage(task);
    });
}
