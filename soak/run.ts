import { type Randomness, SeededRandomness } from "../packages/basilpaddle/src/node/utils/index.js";
import { until } from "../playground/harness/index.js";
import { Callers } from "./callers.js";
import { SoakDeployment } from "./deployment.js";
import { FaultRunner } from "./faults.js";
import { Invariants, type Violation } from "./invariants.js";
import type { Member } from "./member.js";
import { Operator } from "./operator.js";
import type { SoakPlan } from "./plan.js";

/** Milliseconds after the last fault within which every gateway serves every kind of request again. */
const recoveryLimit = 20_000;
/** Requests of each kind that each gateway is asked at the end. */
const lastQuestions = 2;
const readInterval = 400;
/** Log lines that never come in a sound run, as parts of their texts. */
const faultLines = ["a fault of this daemon", "\"level\":\"FATAL\"", "a link handler failed"];

/** What came of a run. */
export type SoakReport = {
    readonly seed: number;
    readonly violations: readonly Violation[];
    readonly requests: number;
    /** Requests by how they ended. */
    readonly ends: Readonly<Record<string, number>>;
    /** Requests that broke off, by what their callers saw. */
    readonly cuts: Readonly<Record<string, number>>;
    /** What was done, in order. */
    readonly faults: readonly string[];
    /** What the processes wrote, by name. */
    readonly logs: ReadonlyMap<string, string>;
};

/** Plays one plan on real processes, and holds what was seen against what is promised. */
export async function runSoak(plan: SoakPlan): Promise<SoakReport> {
    const random = SeededRandomness.create(plan.seed + 1);
    const invariants = Invariants.create();
    const faults: string[] = [];
    const deployment = await SoakDeployment.create(plan, invariants);
    try {
        const run = new Run(plan, deployment, invariants, random);
        await run.play(line => faults.push(line));
        return run.report(faults);
    }
    finally {
        await deployment.close();
    }
}

class Run {
    private readonly callers: Callers;
    private readonly operator: Operator;

    constructor(
        private readonly plan: SoakPlan,
        private readonly deployment: SoakDeployment,
        private readonly invariants: Invariants,
        random: Randomness,
    ) {
        this.callers = Callers.create(deployment, invariants, random);
        this.operator = Operator.create(deployment, invariants, random);
    }

    async play(note: (line: string) => void): Promise<void> {
        const { deployment, operator, callers, invariants, plan } = this;
        await deployment.start();
        await operator.change();
        await deployment.ready();
        await this.serves();
        callers.start(plan.requestsPerSecond);
        const reading = setInterval(() => void operator.read(), readInterval);
        const watching = setInterval(() => this.checkProcesses(), readInterval);
        await FaultRunner.create(deployment, operator, invariants, callers, note).play(plan.faults);
        await callers.stop();
        clearInterval(reading);
        clearInterval(watching);
        await this.recovers();
        operator.close();
        invariants.judge();
        this.checkLogs();
    }

    report(faults: readonly string[]): SoakReport {
        const { invariants, plan } = this;
        const ends: Record<string, number> = {};
        const cuts: Record<string, number> = {};
        for (const { end } of invariants.requests.values()) {
            const name = end === undefined ? "open" : end.kind === "answered" ? String(end.status) : end.kind;
            ends[name] = (ends[name] ?? 0) + 1;
            if (end?.kind === "cut") {
                // Without addresses and byte counts, which differ each time.
                const cause = end.cause.replace(/[\d.:]+/g, "N");
                cuts[cause] = (cuts[cause] ?? 0) + 1;
            }
        }
        const logs = new Map(this.everyMember().map(member => [member.name, member.output()]));
        const { violations, requests } = invariants;
        return { seed: plan.seed, violations, requests: requests.size, ends, cuts, faults, logs };
    }

    /** Waits until every gateway serves every kind of request. */
    private async serves(): Promise<void> {
        for (const gateway of this.deployment.gateways) {
            for (const kind of ["safe", "unsafe", "resumable", "once"] as const) {
                await until(`${gateway.name} serves ${kind}`, async () => {
                    const { end } = await this.callers.ask(gateway, kind);
                    return end?.kind === "answered" && end.status === 200;
                }, recoveryLimit);
            }
        }
    }

    /** Everything is right again: it must be served as before, under the newest configuration. */
    private async recovers(): Promise<void> {
        try {
            await this.deployment.ready();
            await this.serves();
            await until("the newest configuration is read back", async () => {
                return await this.operator.read() !== undefined;
            }, recoveryLimit);
            for (const gateway of this.deployment.gateways) {
                await until(`${gateway.name} obeys the newest configuration`, async () => {
                    const path = Operator.probePath(this.invariants.newest());
                    const { end } = await this.callers.ask(gateway, "safe", path);
                    return end?.kind === "answered" && end.status === 200;
                }, recoveryLimit);
            }
            await this.askAll();
        }
        catch (error) {
            const { message, cause } = error as Error;
            this.invariants.violate("recovery", cause === undefined ? message : `${message}; last: ${String(cause)}`);
        }
    }

    private async askAll(): Promise<void> {
        for (const gateway of this.deployment.gateways) {
            for (let question = 0; question < lastQuestions; question++) {
                const { end, attempt } = await this.callers.ask(gateway, "once");
                if (end?.kind !== "answered" || end.status !== 200) {
                    this.invariants.violate("recovery", `${gateway.name} gave ${attempt} ${JSON.stringify(end)}`);
                }
            }
        }
    }

    private checkProcesses(): void {
        for (const member of this.deployment.members()) {
            if (!member.isRunning() && !member.expectedDown) {
                member.expectedDown = true;
                this.invariants.violate("processes run", `${member.name} ended by itself, ${member.lastWords()}`);
            }
        }
    }

    /** Also those that were replaced and don't run any more. */
    private everyMember(): readonly Member[] {
        return [...this.deployment.members(), ...this.deployment.replaced];
    }

    private checkLogs(): void {
        for (const member of this.everyMember()) {
            const found = member.output().split("\n").find(line => faultLines.some(part => line.includes(part)));
            if (found !== undefined) {
                this.invariants.violate("logs", `${member.name}: ${found.slice(0, 300)}`);
            }
        }
    }
}
