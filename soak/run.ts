import { type Randomness, SeededRandomness } from "../packages/basilpaddle/src/node/utils/index.js";
import { until } from "../playground/harness/index.js";
import { Callers } from "./callers.js";
import { SoakDeployment } from "./deployment.js";
import { FaultRunner } from "./faults.js";
import { Invariants } from "./invariants.js";
import type { Member } from "./member.js";
import { Operator } from "./operator.js";
import type { SoakPlan } from "./plan.js";
import type { Violation } from "./soakRequest.js";

/** Time limit for each recovery step after the last fault, such as a gateway serving one kind of request again. */
const recoveryTimeoutMilliseconds = 20_000;
/** Number of requests sent to each gateway at the end of the run; each of them must succeed. */
const finalRequests = 2;
const checkIntervalMilliseconds = 400;
/** Parts of log lines that indicate an internal error of a daemon; none may appear in a run. */
const forbiddenLogTexts = ["a fault of this daemon", "\"level\":\"FATAL\"", "a link handler failed"];

/** The result of a run. */
export type SoakReport = {
    readonly seed: number;
    readonly violations: readonly Violation[];
    readonly requests: number;
    /** Number of requests by their outcome: the status, or the way in which they ended without a response. */
    readonly ends: Readonly<Record<string, number>>;
    /** Number of requests that were cut off, by the error that their callers observed. */
    readonly cuts: Readonly<Record<string, number>>;
    /** Numbers of streams that callers resumed, of those that were answered whole, and of those with events of two versions. */
    readonly streams: { readonly resumed: number; readonly continued: number; readonly mixed: number; };
    /** The injected faults, in order. */
    readonly faults: readonly string[];
    /** The output of the daemon processes, by name. */
    readonly logs: ReadonlyMap<string, string>;
};

/** Runs one plan with real processes, and checks the invariants against what was observed. */
export async function runSoak(plan: SoakPlan): Promise<SoakReport> {
    const random = SeededRandomness.create(plan.seed + 1);
    const invariants = Invariants.create();
    const faults: string[] = [];
    const deployment = await SoakDeployment.create(plan, invariants);
    try {
        const run = new Run(plan, deployment, invariants, random);
        await run.execute(line => faults.push(line));
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
        const { seed, versions = 1 } = plan;
        const breakRandom = SeededRandomness.create(-1 - seed);
        const keptRandom = SeededRandomness.create(-5_000_000 - seed);
        this.callers = Callers.create(deployment, invariants, random, breakRandom, versions > 1, keptRandom);
        this.operator = Operator.create(deployment, invariants, random);
    }

    async execute(reportFault: (line: string) => void): Promise<void> {
        const { deployment, operator, callers, invariants, plan } = this;
        await deployment.start();
        await operator.change();
        await deployment.waitUntilReady();
        await this.waitUntilServing();
        callers.start(plan.requestsPerSecond, plan.keptCallers ?? 0);
        const readTimer = setInterval(() => void operator.read(), checkIntervalMilliseconds);
        const processTimer = setInterval(() => this.checkProcesses(), checkIntervalMilliseconds);
        await FaultRunner.create(deployment, operator, invariants, callers, reportFault).injectAll(plan.faults);
        await callers.stop();
        clearInterval(readTimer);
        clearInterval(processTimer);
        await this.checkRecovery();
        operator.close();
        invariants.checkRequests();
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
                // Replaces addresses and byte counts, which differ between runs, so that equal causes are counted together.
                const cause = end.cause.replace(/[\d.:]+/g, "N");
                cuts[cause] = (cuts[cause] ?? 0) + 1;
            }
        }
        const logs = new Map(this.allMembers().map(member => [member.name, member.output()]));
        const { violations, requests } = invariants;
        const resumptions = [...requests.values()].filter(({ resumes }) => resumes !== undefined);
        const streams = {
            resumed: resumptions.length,
            continued: resumptions.filter(({ end }) => end?.kind === "answered" && end.status === 200).length,
            mixed: violations.filter(({ invariant }) => invariant === "one version").length,
        };
        return { seed: plan.seed, violations, requests: requests.size, ends, cuts, streams, faults, logs };
    }

    /** Waits until every gateway serves every kind of request. */
    private async waitUntilServing(): Promise<void> {
        for (const gateway of this.deployment.gateways) {
            for (const kind of ["safe", "unsafe", "resumable", "once"] as const) {
                await until(`${gateway.name} serves ${kind}`, async () => {
                    const { end } = await this.callers.sendRequest(gateway, kind);
                    return end?.kind === "answered" && end.status === 200;
                }, recoveryTimeoutMilliseconds);
            }
        }
    }

    /** Checks that, with all faults reverted, every gateway serves requests under the newest configuration. */
    private async checkRecovery(): Promise<void> {
        try {
            await this.deployment.waitUntilReady();
            await this.waitUntilServing();
            await until("the newest configuration is read back", async () => {
                return await this.operator.read() !== undefined;
            }, recoveryTimeoutMilliseconds);
            for (const gateway of this.deployment.gateways) {
                await until(`${gateway.name} applies the newest configuration`, async () => {
                    const path = Operator.probePath(this.invariants.newestAcknowledged());
                    const { end } = await this.callers.sendRequest(gateway, "safe", path);
                    return end?.kind === "answered" && end.status === 200;
                }, recoveryTimeoutMilliseconds);
            }
            await this.sendFinalRequests();
        }
        catch (error) {
            const { message, cause } = error as Error;
            this.invariants.violate("recovery", cause === undefined ? message : `${message}; last: ${String(cause)}`);
        }
    }

    private async sendFinalRequests(): Promise<void> {
        for (const gateway of this.deployment.gateways) {
            for (let requestNumber = 0; requestNumber < finalRequests; requestNumber++) {
                const { end, attempt } = await this.callers.sendRequest(gateway, "once");
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
                this.invariants.violate(
                    "processes run",
                    `${member.name} ended by itself, ${member.exitDescription()}`,
                );
            }
        }
    }

    /** All members, including directories that were replaced and no longer run. */
    private allMembers(): readonly Member[] {
        return [...this.deployment.members(), ...this.deployment.replaced];
    }

    private checkLogs(): void {
        for (const member of this.allMembers()) {
            const forbiddenLine = member.output().split("\n").find(line =>
                forbiddenLogTexts.some(part => line.includes(part))
            );
            if (forbiddenLine !== undefined) {
                this.invariants.violate("logs", `${member.name}: ${forbiddenLine.slice(0, 300)}`);
            }
        }
    }
}
