// Measures the agreement protocol with three replicas in one process, on real disks and in real time with the default
// timing: entries per second with and without group commit, time without a leader after a fault, and the time in which a
// replica that missed changes catches up.
import * as hdr from "hdr-histogram-js";
import * as fs from "node:fs/promises";
import * as path from "node:path";
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { Group, pollUntilDefined } from "../packages/basilpaddle/src/node/coordination/agreement/__tests__/group.js";
import { type Command, type CommandResult, timingSchema } from "../packages/basilpaddle/src/node/protocol/index.js";
import { FolderDisk, LogFile, StateMachine } from "../packages/basilpaddle/src/node/state/index.js";
import { Clock, SystemClock } from "../packages/basilpaddle/src/node/utils/index.js";

const replicaNames = ["a", "b", "c"];
const entryBytes = 300;
const missedChanges = 500;
const timing = timingSchema.parse({});

const options = await yargs(hideBin(process.argv))
    .usage("npx tsx scripts/measureAgreement.ts --folder DIR")
    .option("folder", {
        type: "string",
        default: "measurement",
        describe: "folder in which data folders are created and removed",
    })
    .option("seconds", { type: "number", default: 4, describe: "duration of each load measurement" })
    .option("faults", { type: "number", default: 15, describe: "number of times each fault is injected" })
    .option("only", { choices: ["log", "replicated", "faults", "restart"] as const, describe: "run only this part" })
    .strict()
    .parse();

/** A clock that delays its callbacks until it is unfrozen, which simulates a suspended process. Its time goes on. */
class FreezableClock extends Clock {
    frozen = false;
    private readonly clock = SystemClock.create();
    private readonly delayedCallbacks: (() => void)[] = [];

    override monotonic(): number {
        return this.clock.monotonic();
    }

    override wall(): number {
        return this.clock.wall();
    }

    override after(milliseconds: number, callback: () => void): () => void {
        return this.clock.after(milliseconds, () => {
            if (this.frozen) {
                this.delayedCallbacks.push(callback);
            }
            else {
                callback();
            }
        });
    }

    unfreeze(): void {
        this.frozen = false;
        this.delayedCallbacks.splice(0).forEach(callback => callback());
    }
}

/** A state machine with negligible cost, so that the log dominates the measurement. */
class CountingStateMachine extends StateMachine {
    private count = 0;

    override apply(index: number): CommandResult {
        this.count += 1;
        return { kind: "done", index };
    }

    override snapshot(): Uint8Array {
        return Buffer.from(String(this.count));
    }

    override restore(snapshot: Uint8Array): void {
        this.count = Number(Buffer.from(snapshot).toString("utf8"));
    }
}

const clocks = new Map(replicaNames.map(name => [name, new FreezableClock()]));

async function makeDisk(name: string): Promise<FolderDisk> {
    const folder = path.join(options.folder, name);
    await fs.rm(folder, { recursive: true, force: true });
    return FolderDisk.create(folder);
}

function makeGroup(groupLimit?: number, compaction: { after?: number; keep?: number; } = {}): Promise<Group> {
    return Group.create(
        replicaNames,
        name => ({
            timing,
            clock: clocks.get(name)!,
            compaction,
            stateMachine: new CountingStateMachine(),
            log: groupLimit === undefined ? {} : { groupLimit },
        }),
        makeDisk,
    );
}

function commandOfSize(bytes: number): Command {
    return { kind: "releaseRun", key: "k".repeat(bytes - 60), token: "token", at: 1 };
}

async function measureLogFile(groupLimit: number | undefined, writers: number): Promise<void> {
    const disk = await makeDisk("log-only");
    await LogFile.initialise(disk, "log", []);
    const { file } = await LogFile.create(disk, "log", groupLimit === undefined ? {} : { groupLimit });
    const record = Buffer.alloc(entryBytes, 1);
    const rate = await measureRate(writers, () => file.append([record]));
    console.log(`log file, ${writers} writers, ${describeSyncs(groupLimit)}: ${rate}, ${file.syncs()} syncs`);
    await file.close();
}

async function measureReplicated(groupLimit: number | undefined, writers: number): Promise<void> {
    const group = await makeGroup(groupLimit);
    const leader = group.replicas.get(await group.leader())!;
    const command = commandOfSize(entryBytes);
    const rate = await measureRate(writers, async () => {
        const proposal = await leader.propose(command, 10_000);
        if (proposal.kind !== "result") {
            throw new Error(`a proposal ended with ${proposal.kind}`);
        }
    });
    console.log(
        `replicated, ${writers} writers, ${describeSyncs(groupLimit)}: ${rate}, ${leader.syncs()} syncs at the leader`,
    );
    await group.close();
}

function describeSyncs(groupLimit: number | undefined): string {
    return groupLimit === undefined ? "group commit" : "one sync per entry";
}

async function measureRate(writers: number, write: () => Promise<void>): Promise<string> {
    const latencies = hdr.build({ highestTrackableValue: 10_000_000 });
    const begin = performance.now();
    const end = begin + options.seconds * 1_000;
    let count = 0;
    await Promise.all(Array.from({ length: writers }, async () => {
        while (performance.now() < end) {
            const from = performance.now();
            await write();
            latencies.recordValue(Math.round((performance.now() - from) * 1_000));
            count += 1;
        }
    }));
    const rate = Math.round(count / ((performance.now() - begin) / 1_000));
    return `${rate} entries/s, p50 ${formatPercentile(latencies, 50)} ms, p99 ${formatPercentile(latencies, 99)} ms`;
}

function formatPercentile(histogram: hdr.Histogram, percentile: number): string {
    return (histogram.getValueAtPercentile(percentile) / 1_000).toFixed(2);
}

type Fault = { readonly name: string; readonly inject: FaultAction; readonly recover: FaultAction; };
type FaultAction = (group: Group, leader: string) => Promise<unknown>;

const faults: readonly Fault[] = [
    {
        name: "kill",
        inject: (group, leader) => group.kill(leader),
        recover: (group, leader) => group.start(leader),
    },
    {
        name: "silent cut",
        inject: async (group, leader) => group.isolate(leader, true),
        recover: async (group, leader) => group.isolate(leader, false),
    },
    {
        // Simulated in the process: timers and messages of the leader stop. When it resumes, its clock has advanced by the duration.
        name: "freeze",
        inject: async (group, leader) => {
            clocks.get(leader)!.frozen = true;
            group.isolate(leader, true);
        },
        recover: async (group, leader) => {
            group.isolate(leader, false);
            clocks.get(leader)!.unfreeze();
        },
    },
    {
        name: "close (leadership handed over)",
        inject: async (group, leader) => {
            const replica = group.replicas.get(leader)!;
            await replica.close();
            group.replicas.delete(leader);
        },
        recover: (group, leader) => group.start(leader),
    },
];

async function measureFault(fault: Fault): Promise<void> {
    const group = await makeGroup();
    const times = hdr.build({ highestTrackableValue: 60_000 });
    for (let round = 0; round < options.faults; round += 1) {
        const leader = await group.leader();
        await group.propose(`before ${round}`);
        // Random offset within the heartbeat interval.
        await new Promise(resolve => setTimeout(resolve, Math.random() * timing.heartbeatInterval));
        const begin = performance.now();
        await fault.inject(group, leader);
        const next = await group.leader(leader);
        await pollUntilDefined("a result of the next leader", async () => {
            const proposal = await group.replicas.get(next)!.propose(commandOfSize(entryBytes), 2_000);
            return proposal.kind === "result" ? true : undefined;
        });
        times.recordValue(Math.round(performance.now() - begin));
        await fault.recover(group, leader);
        await waitUntilCaughtUp(group, leader);
    }
    console.log(
        `${fault.name} of the leader until the next accepted entry, ${options.faults} times: p50 `
            + `${times.getValueAtPercentile(50)} ms, worst ${times.maxValue} ms`,
    );
    await group.close();
}

async function waitUntilCaughtUp(group: Group, name: string): Promise<void> {
    await pollUntilDefined(`${name} has caught up`, async () => {
        const leader = [...group.replicas.values()].find(replica => replica.currentStatus().leading);
        const own = group.replicas.get(name)!.currentStatus();
        const isCaughtUp = own.leader !== undefined && own.committedIndex === leader?.currentStatus().committedIndex;
        return isCaughtUp ? true : undefined;
    });
}

async function measureRestart(compaction: { after?: number; keep?: number; }, label: string): Promise<void> {
    const group = await makeGroup(undefined, compaction);
    await group.propose("first");
    const leader = await group.leader();
    const follower = replicaNames.find(name => name !== leader)!;
    await group.kill(follower);
    for (let change = 0; change < missedChanges; change += 1) {
        await group.propose(`change ${change}`);
    }
    const begin = performance.now();
    await group.start(follower);
    const started = performance.now();
    await waitUntilCaughtUp(group, follower);
    const totalTime = Math.round(performance.now() - begin);
    const openTime = (started - begin).toFixed(1);
    const silenceTime = 2 * timing.electionTimeout;
    console.log(
        `restart after ${missedChanges} missed changes, ${label}: caught up after ${totalTime} ms, including ${openTime} ms to open `
            + `the folder and ${silenceTime} ms of initial silence`,
    );
    await group.close();
}

function isSelected(part: typeof options.only): boolean {
    return options.only === undefined || options.only === part;
}

if (isSelected("log")) {
    await measureLogFile(1, 64);
    await measureLogFile(undefined, 64);
}
if (isSelected("replicated")) {
    for (const writers of [1, 64, 256]) {
        await measureReplicated(1, writers);
        await measureReplicated(undefined, writers);
    }
}
if (isSelected("faults")) {
    for (const fault of faults) {
        await measureFault(fault);
    }
}
if (isSelected("restart")) {
    await measureRestart({}, "by the tail of the log");
    await measureRestart({ after: 100, keep: 10 }, "by snapshot and tail");
}
await fs.rm(options.folder, { recursive: true, force: true });
