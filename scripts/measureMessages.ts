/** Prints the sizes of messages that grow with the deployment, and the time to encode, decode and validate each. */
import { type Command, type PeerRequest, peerRequestSchema } from "../packages/basilpaddle/src/node/protocol/index.js";
import { encodeFrame, FrameReader } from "../packages/basilpaddle/src/node/transport/index.js";

type Sample = { readonly name: string; readonly size: number; readonly request: PeerRequest; };

const iterations = 2_000;
const blockTokens = 256;
const owner = { daemon: "entry-117", incarnation: "0d1f4c1e-9c2e-4d7f-a6c2-0a4a4f0c7d11" };

function attemptId(number: number): string {
    return `${owner.daemon}/${owner.incarnation}/${number}`;
}

function createReserveSample(promptTokens: number): Sample {
    const blocks = Math.floor(promptTokens / blockTokens);
    return {
        name: "reserve, by prompt tokens",
        size: promptTokens,
        request: {
            kind: "reserve",
            demand: {
                attempt: attemptId(1),
                owner,
                pool: "drafting",
                model: "celeste-draft",
                organisation: "organisation-12345",
                failureDomain: "pocitos",
                promptTokens,
                maxTokens: 800,
                expectedTokens: 400,
                prefixes: Array.from({ length: blocks }, (_, block) => block.toString(16).padStart(16, "0")),
                blockTokens,
                priority: 100,
                firstTokenWithin: 1_482.25,
                deadlineWithin: 599_982.25,
                alreadySent: 0,
                once: false,
                avoid: [],
            },
        },
    };
}

function createLoadSample(active: number): Sample {
    const report = {
        id: "decode-417",
        incarnation: 1_796_235_362_314,
        sequence: 90_000,
        active: Array.from({ length: active }, (_, number) => attemptId(number)),
        queuedTokens: 0,
        tokenTime: 31.5,
    };
    return {
        name: "load, by attempts held",
        size: active,
        request: { kind: "load", pool: "drafting", reports: [report] },
    };
}

function createProgressSample(updates: number): Sample {
    const update = { attempt: attemptId(1), stage: "prefilled" as const, tokens: 0, reusedTokens: 2_048 };
    return {
        name: "progress, by words in one message",
        size: updates,
        request: { kind: "progress", pool: "drafting", progress: Array.from({ length: updates }, () => update) },
    };
}

function createFinishSample(bodyBytes: number): Sample {
    const command: Command = {
        kind: "finishRun",
        key: `organisation-12345/v1/chat/completions/${"a".repeat(64)}`,
        token: owner.incarnation,
        result: "answered",
        answer: { status: 200, headers: { "content-type": "application/json" }, body: new Uint8Array(bodyBytes) },
        at: 1_796_235_362_314,
    };
    return { name: "finishRun, by bytes of the answer", size: bodyBytes, request: { kind: "propose", command } };
}

function measureMicroseconds(work: () => void): number {
    for (let round = 0; round < iterations / 10; round++) {
        work();
    }
    const startedAt = process.hrtime.bigint();
    for (let round = 0; round < iterations; round++) {
        work();
    }
    return Number(process.hrtime.bigint() - startedAt) / 1_000 / iterations;
}

const samples: readonly Sample[] = [
    ...[50, 1_000, 10_000, 40_000].map(createReserveSample),
    ...[1, 4].map(createProgressSample),
    ...[20, 100, 160].map(createLoadSample),
    ...[200, 4_000, 64_000].map(createFinishSample),
];
process.stdout.write("| message | size | bytes | writing µs | reading µs | checking µs |\n");
process.stdout.write("| --- | ---: | ---: | ---: | ---: | ---: |\n");
for (const { name, size, request } of samples) {
    const frame = encodeFrame({ id: 1, body: request });
    const writing = measureMicroseconds(() => encodeFrame({ id: 1, body: request }));
    const reading = measureMicroseconds(() => FrameReader.create().push(frame));
    const checking = measureMicroseconds(() => peerRequestSchema.parse(request));
    const times = [writing, reading, checking].map(time => time.toFixed(1)).join(" | ");
    process.stdout.write(`| ${name} | ${size} | ${frame.length} | ${times} |\n`);
}
