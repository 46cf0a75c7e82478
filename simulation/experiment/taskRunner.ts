import { Worker } from "node:worker_threads";
import type { Day } from "../places/day.js";
import { simulateDay } from "../places/daySimulation.js";
import type { PoolOutcome } from "../places/outcome.js";
import { unevenScore } from "../places/unevenScores.js";
import type { Variant } from "./variant.js";

/** The simulation of one day under one variant with one seed. */
export type Task = { readonly day: Day; readonly variant: Variant; readonly seed: number; };

/** Runs tasks and returns their outcomes in the order of the tasks. */
export abstract class TaskRunner {
    /** `onTaskDone` is called after each task. */
    abstract run(tasks: readonly Task[], onTaskDone: () => void): Promise<readonly PoolOutcome[]>;
}

/** Runs the tasks sequentially in the current thread. */
export class InlineRunner extends TaskRunner {
    static create(): InlineRunner {
        return new InlineRunner();
    }

    override async run(tasks: readonly Task[], onTaskDone: () => void): Promise<readonly PoolOutcome[]> {
        return tasks.map(task => {
            const outcome = runTask(task);
            onTaskDone();
            return outcome;
        });
    }
}

/** Runs the tasks concurrently in several worker threads. */
export class ThreadRunner extends TaskRunner {
    private constructor(private readonly threads: number) {
        super();
    }

    static create(threads: number): ThreadRunner {
        return new ThreadRunner(threads);
    }

    override async run(tasks: readonly Task[], onTaskDone: () => void): Promise<readonly PoolOutcome[]> {
        const outcomes = new Array<PoolOutcome>(tasks.length);
        let next = 0;
        const runInThread = async (): Promise<void> => {
            const thread = new Worker(new URL("./thread.js", import.meta.url));
            try {
                while (next < tasks.length) {
                    const position = next;
                    next += 1;
                    outcomes[position] = await requestOutcome(thread, tasks[position]!);
                    onTaskDone();
                }
            }
            finally {
                await thread.terminate();
            }
        };
        await Promise.all(Array.from({ length: Math.min(this.threads, tasks.length) }, runInThread));
        return outcomes;
    }
}

/** Runs one task in the current thread. */
export function runTask({ day, variant, seed }: Task): PoolOutcome {
    const { unevenScore: score, ...tuning } = variant.tuning;
    return simulateDay(day, seed, score === undefined ? tuning : { ...tuning, unevenScore: unevenScore(score) });
}

function requestOutcome(thread: Worker, task: Task): Promise<PoolOutcome> {
    return new Promise((resolve, reject) => {
        const settle = (callback: () => void): void => {
            thread.off("message", onMessage);
            thread.off("error", onError);
            callback();
        };
        const onMessage = (outcome: PoolOutcome): void => settle(() => resolve(outcome));
        const onError = (error: Error): void => settle(() => reject(error));
        thread.on("message", onMessage);
        thread.on("error", onError);
        thread.postMessage(task);
    });
}
