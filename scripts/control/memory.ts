/** Measures the ledger's heap and snapshot size per entry of each kind. Needs `--expose-gc`. */
import {
    announcementSchema,
    type Command,
    declarationSchema,
} from "../../packages/basilpaddle/src/node/protocol/index.js";
import { Ledger } from "../../packages/basilpaddle/src/node/state/index.js";

const samples: readonly {
    readonly name: string;
    readonly sizes: readonly number[];
    readonly commands: (size: number) => Command[];
}[] = [
    { name: "session", sizes: [8, 60, 360], commands: size => createCommands(size, createSessionCommand) },
    { name: "backend server", sizes: [15, 150, 600], commands: size => createCommands(size, createBackendCommand) },
    { name: "run record", sizes: [200, 2_000, 40_000], commands: size => createCommands(size, createRunCommand) },
    { name: "organisation", sizes: [100, 2_400, 24_000], commands: size => [createChangeCommand(size)] },
];

for (const { name, sizes, commands } of samples) {
    for (const size of sizes) {
        const empty = measureHeapBytes();
        const ledger = Ledger.create();
        // Serialized and parsed like commands read from a log; otherwise commands would share objects and heap sizes would be too small.
        const commandList = JSON.parse(JSON.stringify(commands(size))) as Command[];
        commandList.forEach((command, position) => ledger.apply(position + 1, command));
        commandList.length = 0;
        const heapUsed = measureHeapBytes() - empty;
        const startedAt = performance.now();
        const snapshotBytes = ledger.snapshot().length;
        const milliseconds = performance.now() - startedAt;
        console.log(
            `${size} x ${name}: ${heapUsed} B of heap, ${(heapUsed / size).toFixed(0)} B each; `
                + `snapshot ${snapshotBytes} B, ${(snapshotBytes / size).toFixed(0)} B each, written in ${
                    milliseconds.toFixed(1)
                } ms`,
        );
    }
}

function createCommands(size: number, createCommand: (position: number) => Command): Command[] {
    return Array.from({ length: size }, (_, position) => createCommand(position));
}

function createSessionCommand(position: number): Command {
    const session = { daemon: `entry-${position}`, incarnation: "8f14e45f-ceea-467f-a9d0-5b2f3e1c9a77" };
    const peers = { host: "127.0.0.1", port: 7_000 + position };
    return { kind: "openSession", session, failureDomain: "ciudad-vieja", peers, at: 1 };
}

function createBackendCommand(position: number): Command {
    const announcement = announcementSchema.parse({
        id: `decode-${position}`,
        incarnation: 3,
        url: `http://127.0.0.9:${8_000 + position}`,
        failureDomain: "ciudad-vieja",
        role: "decode",
        pool: "drafting",
        models: [{ name: "drafter", version: "2026-11", adapters: ["narratives", "letters"] }],
        slots: 20,
    });
    return { kind: "announceBackend", announcement, at: 1 };
}

function createRunCommand(position: number): Command {
    const key = `organisation-${position % 100}/letters/8f14e45f-ceea-467f-a9d0-${position}`;
    const owner = { daemon: `entry-${position % 8}`, incarnation: "8f14e45f-ceea-467f-a9d0-5b2f3e1c9a77" };
    const token = `${position}-5b2f3e1c9a77`;
    return { kind: "startRun", key, digest: "0123456789abcdef", owner, token, at: 1 };
}

function createChangeCommand(size: number): Command {
    const organisations = Object.fromEntries(
        Array.from({ length: size }, (_, position) => [`organisation-${position}`, { share: 2, openRequests: 20 }]),
    );
    const declaration = declarationSchema.parse({ organisations });
    const files = [{ name: "50-organisations.json", text: JSON.stringify({ organisations }) }];
    const change = { changeId: "one", operator: "measurement", base: 0, declaration, files, note: "" };
    return { kind: "changeConfiguration", change, at: 1 };
}

function measureHeapBytes(): number {
    globalThis.gc!();
    globalThis.gc!();
    const { heapUsed, arrayBuffers } = process.memoryUsage();
    return heapUsed + arrayBuffers;
}
