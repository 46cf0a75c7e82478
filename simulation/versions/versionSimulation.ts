import type { VersionDay } from "./day.js";
import type { VersionWay } from "./ways.js";
import { type EmulatedProcess, World } from "./world.js";

/** Time from the sending of a run to its first event, and length of a stream. */
const firstEventMilliseconds = 12;
const streamMilliseconds = 3_000;
/** Share of the streams that their callers break off, and the pause until they resume them; those that are refused come back once. */
const breakOffProbability = 0.5;
const resumePauseMilliseconds = 5;
const comeBackMilliseconds = 400;
const restartMilliseconds = 700;
const electionMilliseconds = 600;
const stepMilliseconds = 5;
const reviewMilliseconds = 300;
/** How long a split lasts, and how long it has lasted when a new version joins one side. */
const splitMilliseconds = 5_000;
const splitBeforeJoinMilliseconds = 400;

/** What a day showed. */
export type VersionOutcome = {
    readonly way: string;
    /** Streams that began, and those that couldn't. */
    readonly begun: number;
    readonly refused: number;
    readonly resumed: number;
    /** Resumed streams that continued, and those that did so at another version than the one that began them. */
    readonly continued: number;
    readonly mixed: number;
    /** Milliseconds by which the first event was later than without: median, and 99 of 100. */
    readonly delayMedian: number;
    readonly delayHigh: number;
    readonly messagesPerStream: number;
    readonly bytesPerStream: number;
    /** Largest number of streams that one process had recorded. */
    readonly records: number;
};

/** Plays a day with one way to know the version that began a stream; the same seed gives the same outcome. */
export async function simulateVersions(
    day: VersionDay,
    way: { readonly create: (world: World) => VersionWay; },
    seed: number,
): Promise<VersionOutcome> {
    const world = World.create(day, seed);
    const simulation = new VersionSimulation(day, world, way.create(world));
    return simulation.run();
}

class VersionSimulation {
    private readonly delays: number[] = [];
    private readonly counts = { begun: 0, refused: 0, resumed: 0, continued: 0, mixed: 0 };
    private readonly streams: Promise<void>[] = [];

    constructor(
        private readonly day: VersionDay,
        private readonly world: World,
        private readonly way: VersionWay,
    ) {}

    async run(): Promise<VersionOutcome> {
        const { day, world, way } = this;
        this.scheduleTrouble();
        const interval = 1_000 / day.streamsPerSecond;
        const tail = streamMilliseconds + 2_000;
        let nextStreamAt = 0;
        let nextReviewAt = 0;
        while (world.now() < day.length + tail) {
            if (world.now() >= nextReviewAt) {
                way.review();
                nextReviewAt += reviewMilliseconds;
            }
            for (; nextStreamAt <= world.now() && nextStreamAt < day.length; nextStreamAt += interval) {
                this.streams.push(this.stream(`a${this.streams.length}`));
            }
            await world.clock.advance(stepMilliseconds);
        }
        way.close();
        return this.outcome();
    }

    private async stream(attempt: string): Promise<void> {
        const { world, way, counts } = this;
        const gateway = this.pickGateway();
        const { lives } = gateway;
        const version = way.chooseVersion(gateway, attempt, world.versionsAt(gateway));
        if (version === undefined) {
            counts.refused += 1;
            return;
        }
        const sentAt = world.now();
        const recorded = way.begin(gateway, attempt, version);
        await this.pause(firstEventMilliseconds);
        const mayBegin = await recorded;
        if (!gateway.isRunning || gateway.lives !== lives) {
            return;
        }
        if (!mayBegin) {
            counts.refused += 1;
            return;
        }
        counts.begun += 1;
        this.delays.push(world.now() - sentAt - firstEventMilliseconds);
        const breaksOff = world.random.fraction() < breakOffProbability;
        const endsAt = world.now() + world.random.integer(0, streamMilliseconds);
        while (world.now() < endsAt && gateway.isRunning && gateway.lives === lives) {
            await this.pause(stepMilliseconds);
        }
        const isBroken = !gateway.isRunning || gateway.lives !== lives;
        if (breaksOff || isBroken) {
            await this.pause(resumePauseMilliseconds);
            await this.resume(attempt, version, gateway);
        }
    }

    private async resume(attempt: string, version: string, before: EmulatedProcess): Promise<void> {
        const { world, way, counts } = this;
        const isServed = world.processes.some(process => world.versionsAt(process).includes(version));
        counts.resumed += isServed ? 1 : 0;
        let last = before;
        for (let tries = 0; tries < 2; tries++) {
            const gateway = this.pickGateway(last);
            const resolved = await way.resolve(gateway, attempt);
            if (resolved !== undefined) {
                const continues = world.versionsAt(gateway).includes(resolved);
                counts.mixed += continues && resolved !== version ? 1 : 0;
                counts.continued += continues && resolved === version ? 1 : 0;
                return;
            }
            last = gateway;
            await this.pause(comeBackMilliseconds);
        }
    }

    private pickGateway(except?: EmulatedProcess): EmulatedProcess {
        const { world } = this;
        const running = world.gateways.filter(gateway => gateway.isRunning && gateway !== except);
        return world.pick(running) ?? world.gateways[0]!;
    }

    private scheduleTrouble(): void {
        const { world, day } = this;
        const every = (milliseconds: number, action: (number: number) => void): void => {
            for (let number = 0; (number + 1) * milliseconds < day.length; number++) {
                world.clock.after((number + 1) * milliseconds, () => action(number));
            }
        };
        switch (day.trouble) {
            case "nothing":
                return;
            case "gatewaysKilled":
                every(2_000, number => this.kill([world.gateways[number % world.gateways.length]!]));
                return;
            case "leadersKilled":
                every(4_000, () => this.kill(world.leader === undefined ? [] : [world.leader]));
                return;
            case "gatewayCut":
                every(10_000, () => {
                    world.split([world.gateways[0]!]);
                    world.clock.after(4_000, () => world.heal());
                });
                return;
            case "allKilled":
                every(10_000, () => this.kill([...world.gateways, ...world.directories]));
                return;
            case "versionReplaced":
                every(10_000, number => {
                    if (number === 0) {
                        world.join("v2", world.processes);
                    }
                    else {
                        world.leave("v1", world.processes);
                    }
                });
                return;
            case "release":
                every(10_000, number => world.join(`v${number + 2}`, world.processes));
                return;
            case "split":
                every(10_000, number => this.joinBehindSplit(`v${number + 2}`));
        }
    }

    /** An engine of a new version joins one side of a split: one directory, and two thirds of the gateways. */
    private joinBehindSplit(version: string): void {
        const { world } = this;
        const minority = [world.directories[0]!, ...world.gateways.slice(Math.ceil(world.gateways.length / 3))];
        world.split(minority);
        world.clock.after(splitBeforeJoinMilliseconds, () => world.join(version, minority));
        world.clock.after(splitMilliseconds, () => {
            world.heal();
            world.join(version, world.processes);
        });
    }

    private kill(processes: readonly EmulatedProcess[]): void {
        const { world, way } = this;
        for (const process of processes) {
            process.isRunning = false;
            process.lives += 1;
            way.killed(process);
            world.clock.after(restartMilliseconds, () => {
                process.isRunning = true;
            });
        }
        if (world.leader !== undefined && processes.includes(world.leader)) {
            world.leader = undefined;
            world.clock.after(electionMilliseconds + restartMilliseconds, () => {
                world.leader = world.directories.find(({ isRunning }) => isRunning);
            });
        }
    }

    private pause(milliseconds: number): Promise<void> {
        return new Promise(resolve => this.world.clock.after(milliseconds, resolve));
    }

    private outcome(): VersionOutcome {
        const { world, way, counts, delays } = this;
        delays.sort((one, other) => one - other);
        const delayAt = (fraction: number): number => delays[Math.floor(fraction * (delays.length - 1))] ?? 0;
        const perStream = (count: number): number => Math.round(10 * count / counts.begun) / 10;
        return {
            way: way.name,
            ...counts,
            delayMedian: delayAt(0.5),
            delayHigh: delayAt(0.99),
            messagesPerStream: perStream(world.costs.messages),
            bytesPerStream: Math.round(world.costs.bytes / counts.begun),
            records: way.records(),
        };
    }
}
