import type { Randomness } from "../../packages/basilpaddle/src/node/index.js";

/** One kind of request. Lengths are in tokens. */
export type RequestKind = {
    readonly name: string;
    /** Share of all requests, between 0 and 1. */
    readonly share: number;
    readonly prompt: { readonly min: number; readonly max: number; };
    readonly output: { readonly min: number; readonly max: number; };
    readonly idempotent: boolean;
};

/** A pool and its workload, modelled on one of the two users. Times are in milliseconds. */
export type Deployment = {
    readonly name: string;
    readonly domains: readonly string[];
    readonly entries: number;
    readonly prefillEngines: number;
    readonly decodeEngines: number;
    readonly kinds: readonly RequestKind[];
    /** Organisations and their shares of the requests. */
    readonly organisations: readonly { readonly name: string; readonly share: number; }[];
    /** Length of the prefix that all prompts share, and of the prefix after it that the prompts of one organisation share. */
    readonly preamble: { readonly shared: number; readonly perOrganisation: number; };
    /** Bursts of requests from one organisation: milliseconds between two bursts, and requests in each. */
    readonly bursts: { readonly interval: number; readonly size: number; } | undefined;
    readonly targets: { readonly firstToken: number; readonly perToken: number; };
    readonly weighting: "goodput" | "prefill";
    readonly deadline: number;
};

/** Performance model of the simulated engines, in milliseconds, tokens and bytes. */
export const engineModel = {
    slots: 20,
    prefillTokenTime: 0.1,
    prefillOverhead: 8,
    /** Time of a decode step without requests, and what each request in the batch adds. */
    stepBaseTime: 20,
    stepTimePerRequest: 0.7,
    /** How long a prefill engine keeps a result. */
    resultLifetime: 800,
    kvBytesPerToken: 120_000,
    linkBytesPerMillisecond: 8_000_000,
    /** Ratio of the link rate that is available between failure domains. */
    crossDomainLinkFactor: 0.6,
    cacheBlocks: 1_200,
    blockTokens: 256,
} as const;

const agencies = (count: number, share: number): { readonly name: string; readonly share: number; }[] =>
    Array.from({ length: count }, (_, position) => ({ name: `agency-${position}`, share: share / count }));

/** The two deployments. Plain lookups go to the policy and notice services, whose requests these policies don't schedule. */
export const deployments: Readonly<Record<string, Deployment>> = {
    celeste: {
        name: "celeste",
        domains: ["ciudad-vieja", "pocitos", "carrasco"],
        entries: 7,
        prefillEngines: 5,
        decodeEngines: 8,
        kinds: [
            {
                name: "lookup",
                share: 0.15,
                prompt: { min: 150, max: 400 },
                output: { min: 10, max: 40 },
                idempotent: true,
            },
            {
                name: "check",
                share: 0.35,
                prompt: { min: 400, max: 1_200 },
                output: { min: 20, max: 80 },
                idempotent: true,
            },
            {
                name: "dossier",
                share: 0.3,
                prompt: { min: 4_000, max: 9_000 },
                output: { min: 200, max: 450 },
                idempotent: true,
            },
            {
                name: "draft",
                share: 0.2,
                prompt: { min: 1_500, max: 3_500 },
                output: { min: 500, max: 1_200 },
                idempotent: false,
            },
        ],
        organisations: [
            { name: "manager", share: 0.45 },
            ...agencies(5, 0.35),
            ...agencies(25, 0.2).map(one => ({ ...one, name: `small-${one.name}` })),
        ],
        preamble: { shared: 256, perOrganisation: 256 },
        bursts: undefined,
        targets: { firstToken: 1_500, perToken: 37 },
        weighting: "goodput",
        deadline: 120_000,
    },
    hanbit: {
        name: "hanbit",
        domains: ["hall-a", "hall-b", "hall-c"],
        entries: 8,
        prefillEngines: 4,
        decodeEngines: 2,
        kinds: [
            {
                name: "notice",
                share: 0.8,
                prompt: { min: 6_000, max: 14_000 },
                output: { min: 80, max: 240 },
                idempotent: false,
            },
            {
                name: "query",
                share: 0.2,
                prompt: { min: 3_500, max: 5_000 },
                output: { min: 20, max: 80 },
                idempotent: true,
            },
        ],
        organisations: [{ name: "book-1", share: 0.45 }, { name: "book-2", share: 0.35 }, {
            name: "book-3",
            share: 0.2,
        }],
        preamble: { shared: 2_048, perOrganisation: 1_024 },
        bursts: { interval: 6_000, size: 12 },
        targets: { firstToken: 4_000, perToken: 37 },
        weighting: "prefill",
        deadline: 60_000,
    },
};

/** Milliseconds of a decode step with a batch of the given size. */
export function stepTime(batch: number): number {
    return engineModel.stepBaseTime + engineModel.stepTimePerRequest * batch;
}

/** Capacity of the pool in requests per second: the minimum over prefill engines, decode slots and links, with shared prefixes cached. */
export function capacity(deployment: Deployment): number {
    let prefillTime = 0;
    let slotTime = 0;
    const cachedTokens = deployment.preamble.shared + deployment.preamble.perOrganisation;
    for (const kind of deployment.kinds) {
        const prompt = (kind.prompt.min + kind.prompt.max) / 2;
        const output = (kind.output.min + kind.output.max) / 2;
        const computedTokens = Math.max(engineModel.blockTokens, prompt - cachedTokens);
        prefillTime += kind.share * (computedTokens * engineModel.prefillTokenTime + engineModel.prefillOverhead);
        const transfer = prompt * engineModel.kvBytesPerToken / engineModel.linkBytesPerMillisecond;
        slotTime += kind.share * (transfer + output * stepTime(engineModel.slots));
    }
    const prompt = deployment.kinds.reduce(
        (sum, kind) => sum + kind.share * (kind.prompt.min + kind.prompt.max) / 2,
        0,
    );
    const transfer = prompt * engineModel.kvBytesPerToken
        / (engineModel.linkBytesPerMillisecond * engineModel.crossDomainLinkFactor);
    const linkCapacity = 1_000 * Math.min(deployment.decodeEngines, deployment.prefillEngines) / transfer;
    const prefillCapacity = 1_000 * deployment.prefillEngines / prefillTime;
    const slotCapacity = 1_000 * deployment.decodeEngines * engineModel.slots / slotTime;
    return Math.min(prefillCapacity, slotCapacity, linkCapacity);
}

/** A generated request, with properties that only the simulation knows. */
export type Arrival = {
    readonly at: number;
    readonly entry: number;
    readonly kind: RequestKind;
    readonly organisation: string;
    readonly promptTokens: number;
    readonly expectedTokens: number;
    /** Actual length of the answer. */
    readonly outputTokens: number;
    /** Time at which the caller cancels the request, if it does. */
    readonly cancelsAt: number | undefined;
    readonly prefixes: readonly string[];
};

/** Generates the requests of one run, sorted by arrival time. `load` is the offered load as a ratio of the pool's capacity. */
export function generateArrivals(
    deployment: Deployment,
    options: { readonly load: number; readonly until: number; readonly cancelledShare: number; },
    randomness: Randomness,
): readonly Arrival[] {
    const rate = options.load * capacity(deployment) / 1_000;
    const burstRate = deployment.bursts === undefined ? 0 : deployment.bursts.size / deployment.bursts.interval;
    const arrivals: Arrival[] = [];
    let serial = 0;
    const steadyRate = Math.max(rate / 4, rate - burstRate);
    for (let at = 0; at < options.until;) {
        at += -Math.log(1 - randomness.fraction()) / steadyRate;
        arrivals.push(generateArrival(deployment, at, serial++, options.cancelledShare, undefined, randomness));
    }
    // Bursts are a part of the offered load, so that load 1.0 means the same with and without them.
    const { interval, size } = deployment.bursts ?? { interval: Infinity, size: 0 };
    const burstSize = Math.round(size * Math.min(1, (rate - steadyRate) / Math.max(burstRate, 1e-9)));
    for (let at = interval; at < options.until; at += interval) {
        const organisation = pickWeighted(deployment.organisations, randomness).name;
        for (let count = 0; count < burstSize; count++) {
            arrivals.push(
                generateArrival(
                    deployment,
                    at + 20 * count,
                    serial++,
                    options.cancelledShare,
                    organisation,
                    randomness,
                ),
            );
        }
    }
    return arrivals.sort((one, other) => one.at - other.at);
}

function generateArrival(
    deployment: Deployment,
    at: number,
    serial: number,
    cancelledShare: number,
    organisation: string | undefined,
    randomness: Randomness,
): Arrival {
    const kind = pickWeighted(deployment.kinds, randomness);
    const name = organisation ?? pickWeighted(deployment.organisations, randomness).name;
    const promptTokens = randomness.integer(kind.prompt.min, kind.prompt.max);
    const expectedTokens = randomness.integer(kind.output.min, kind.output.max);
    const gaussian = Math.sqrt(-2 * Math.log(1 - randomness.fraction()))
        * Math.cos(2 * Math.PI * randomness.fraction());
    const outputTokens = Math.max(
        2,
        Math.min(2 * expectedTokens, Math.round(expectedTokens * Math.exp(0.3 * gaussian))),
    );
    const isCancelled = randomness.fraction() < cancelledShare;
    const timeToCancel = -Math.log(1 - randomness.fraction()) * 3_000;
    return {
        at,
        entry: randomness.integer(0, deployment.entries - 1),
        kind,
        organisation: name,
        promptTokens,
        expectedTokens,
        outputTokens,
        cancelsAt: isCancelled ? at + timeToCancel : undefined,
        prefixes: prefixes(deployment, name, promptTokens, serial),
    };
}

function prefixes(deployment: Deployment, organisation: string, promptTokens: number, serial: number): string[] {
    const { shared, perOrganisation } = deployment.preamble;
    const blocks = Math.floor(promptTokens / engineModel.blockTokens);
    return Array.from({ length: blocks }, (_, block) => {
        const end = (block + 1) * engineModel.blockTokens;
        const owner = end <= shared ? "house" : end <= shared + perOrganisation ? organisation : `request-${serial}`;
        return `${owner}:${block}`;
    });
}

function pickWeighted<T extends { readonly share: number; }>(choices: readonly T[], randomness: Randomness): T {
    let remaining = randomness.fraction() * choices.reduce((sum, choice) => sum + choice.share, 0);
    for (const choice of choices) {
        remaining -= choice.share;
        if (remaining < 0) {
            return choice;
        }
    }
    return choices.at(-1)!;
}
