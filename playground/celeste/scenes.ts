import { Caller, type CallerAnswer, type Deployment, type ModelCall } from "../harness/index.js";
import { model } from "./plan.js";

/** One thing that the playground did, and whether it went as it must. */
export type Scene = {
    readonly name: string;
    readonly right: boolean;
    /** What is wrong, or the answer. */
    readonly shown: string;
    readonly firstToken: number | undefined;
    readonly total: number;
};

const dossier = Array.from({ length: 400 }, (_, clause) => `Clause ${clause} of the lease binds both parties.`).join(
    " ",
);

/** Plays all scenes, one after another. */
export async function playScenes(deployment: Deployment): Promise<Scene[]> {
    const callers = deployment.entries.map(entry => Caller.create(entry));
    return [
        ...await playModels(callers),
        ...await playLetter(deployment, callers),
        ...await playLookups(deployment, callers),
    ];
}

async function playModels(callers: readonly Caller[]): Promise<Scene[]> {
    const summary: ModelCall = { model, prompt: `Summarise: ${dossier}`, maxTokens: 60, organisation: "agents" };
    const check: ModelCall = { model, prompt: "Is this tenant eligible?", maxTokens: 20, stream: true, chat: true };
    const burst = Array.from({ length: 12 }, (_, agent): ModelCall => ({
        model,
        prompt: `Agent ${agent} asks about ${dossier.slice(agent * 40, 4_000)}`,
        maxTokens: 40,
        stream: true,
        organisation: "agents",
    }));
    const whole = scene("dossier summary, whole", summary, await callers[0]!.requestCompletionWithRetries(summary));
    const streamed = scene(
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
        ...answers.map(({ call, answer }, index) => scene(`agent ${index}, streamed`, call, answer)),
    ];
}

async function playLetter(deployment: Deployment, callers: readonly Caller[]): Promise<Scene[]> {
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
    const again = scene("claim letter sent again to another entry daemon", letter, resent);
    const once = decodes === 1 && resent.replayed;
    return [
        scene("claim letter, non-idempotent", letter, first),
        once ? again : { ...again, right: false, shown: `ran ${decodes} times; replayed: ${resent.replayed}` },
    ];
}

async function playLookups(deployment: Deployment, callers: readonly Caller[]): Promise<Scene[]> {
    const lookup = await callers[3]!.requestService("GET", "/policy/status/certificate-9");
    const order = () => callers[1]!.requestService("POST", "/policy/issue", "issue-9");
    const first = await order();
    const second = await order();
    const runs = await issuedTimes(deployment, "issue-9");
    return [
        plain("policy status lookup", lookup, lookup.status === 200),
        plain("certificate issued, not repeatable", first, first.status === 200),
        plain(`certificate issue sent again (ran ${runs} times)`, second, runs === 1),
    ];
}

function scene(name: string, call: ModelCall, answer: CallerAnswer): Scene {
    const expected = Caller.expected(call);
    const right = answer.complete && answer.text === expected;
    const wrong = answer.error === undefined ? `got ${JSON.stringify(answer.text)}` : JSON.stringify(answer.error);
    const shown = right ? answer.text.slice(0, 48) : `${wrong}, expected ${JSON.stringify(expected)}`;
    return { name, right, shown, firstToken: answer.firstToken, total: answer.total };
}

function plain(name: string, answer: Awaited<ReturnType<Caller["requestService"]>>, right: boolean): Scene {
    return { name, right, shown: JSON.stringify(answer.body), firstToken: undefined, total: answer.total };
}

async function decodeCount(deployment: Deployment): Promise<number> {
    const engines = [...deployment.backends.values()].filter(backend => backend.id.startsWith("decode"));
    const ran = await Promise.all(engines.map(engine => engine.ran()));
    return ran.flatMap(attempts => Object.values(attempts)).filter(attempt => attempt.decodes > 0).length;
}

async function issuedTimes(deployment: Deployment, key: string): Promise<number> {
    const services = [...deployment.backends.values()].filter(backend => backend.id.startsWith("policy"));
    const runs = await Promise.all(services.map(service => service.runCounts()));
    return runs.reduce((sum, counts) => sum + (counts[key] ?? 0), 0);
}
