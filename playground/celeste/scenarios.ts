import { Caller, type CallerAnswer, type Deployment, type ModelCall } from "../harness/index.js";
import { model } from "./plan.js";

/** Result of one request of a scenario. Times are in milliseconds. */
export type ScenarioResult = {
    readonly name: string;
    readonly passed: boolean;
    /** The answer, or the difference from the expected one. */
    readonly detail: string;
    readonly firstToken: number | undefined;
    readonly total: number;
};

const dossier = Array.from({ length: 400 }, (_, clause) => `Clause ${clause} of the lease binds both parties.`).join(
    " ",
);

/** Runs all scenarios, one after another. */
export async function runScenarios(deployment: Deployment): Promise<ScenarioResult[]> {
    const callers = deployment.entries.map(entry => Caller.create(entry));
    return [
        ...await runModelRequests(callers),
        ...await runNonIdempotentRequest(deployment, callers),
        ...await runServiceRequests(deployment, callers),
    ];
}

async function runModelRequests(callers: readonly Caller[]): Promise<ScenarioResult[]> {
    const summary: ModelCall = { model, prompt: `Summarise: ${dossier}`, maxTokens: 60, organisation: "agents" };
    const check: ModelCall = { model, prompt: "Is this tenant eligible?", maxTokens: 20, stream: true, chat: true };
    const burst = Array.from({ length: 12 }, (_, agent): ModelCall => ({
        model,
        prompt: `Agent ${agent} asks about ${dossier.slice(agent * 40, 4_000)}`,
        maxTokens: 40,
        stream: true,
        organisation: "agents",
    }));
    const whole = modelResult(
        "dossier summary, not streamed",
        summary,
        await callers[0]!.requestCompletionWithRetries(summary),
    );
    const streamed = modelResult(
        "eligibility check, streamed chat",
        check,
        await callers[1]!.requestCompletionWithRetries(check),
    );
    const answers = await Promise.all(
        burst.map(async (call, index) => ({
            call,
            answer: await callers[index % callers.length]!.requestCompletionWithRetries(call),
        })),
    );
    return [
        whole,
        streamed,
        ...answers.map(({ call, answer }, index) => modelResult(`agent ${index}, streamed`, call, answer)),
    ];
}

async function runNonIdempotentRequest(deployment: Deployment, callers: readonly Caller[]): Promise<ScenarioResult[]> {
    const letter: ModelCall = {
        model,
        prompt: "Write the arrears claim letter for policy 4711.",
        maxTokens: 50,
        organisation: "claims",
        key: "claim-4711",
    };
    const before = await decodeCount(deployment);
    const first = await callers[0]!.requestCompletionWithRetries(letter);
    const resent = await callers[2]!.requestCompletionWithRetries(letter);
    const decodes = await decodeCount(deployment) - before;
    const again = modelResult("claim letter sent again to another entry daemon", letter, resent);
    const once = decodes === 1 && resent.replayed;
    return [
        modelResult("claim letter, non-idempotent", letter, first),
        once ? again : { ...again, passed: false, detail: `ran ${decodes} times; replayed: ${resent.replayed}` },
    ];
}

async function runServiceRequests(deployment: Deployment, callers: readonly Caller[]): Promise<ScenarioResult[]> {
    const lookup = await callers[3]!.requestService("GET", "/policy/status/certificate-9");
    const issueCertificate = () => callers[1]!.requestService("POST", "/policy/issue", "issue-9");
    const first = await issueCertificate();
    const second = await issueCertificate();
    const runs = await countRuns(deployment, "issue-9");
    return [
        serviceResult("policy status lookup", lookup, lookup.status === 200),
        serviceResult("certificate issued, non-idempotent", first, first.status === 200),
        serviceResult(`certificate issue sent again (ran ${runs} times)`, second, runs === 1),
    ];
}

function modelResult(name: string, call: ModelCall, answer: CallerAnswer): ScenarioResult {
    const expected = Caller.expected(call);
    const passed = answer.complete && answer.text === expected;
    const difference = answer.error === undefined ? `got ${JSON.stringify(answer.text)}` : JSON.stringify(answer.error);
    const detail = passed ? answer.text.slice(0, 48) : `${difference}, expected ${JSON.stringify(expected)}`;
    return { name, passed, detail, firstToken: answer.firstToken, total: answer.total };
}

function serviceResult(
    name: string,
    answer: Awaited<ReturnType<Caller["requestService"]>>,
    passed: boolean,
): ScenarioResult {
    return { name, passed, detail: JSON.stringify(answer.body), firstToken: undefined, total: answer.total };
}

async function decodeCount(deployment: Deployment): Promise<number> {
    const engines = [...deployment.backends.values()].filter(backend => backend.id.startsWith("decode"));
    const ran = await Promise.all(engines.map(engine => engine.attemptRecords()));
    return ran.flatMap(attempts => Object.values(attempts)).filter(attempt => attempt.decodes > 0).length;
}

async function countRuns(deployment: Deployment, key: string): Promise<number> {
    const services = [...deployment.backends.values()].filter(backend => backend.id.startsWith("policy"));
    const runs = await Promise.all(services.map(service => service.runCounts()));
    return runs.reduce((sum, counts) => sum + (counts[key] ?? 0), 0);
}
