import {
    applyAnnouncement,
    DirectoryWatcher,
    InstanceTable,
} from "../../packages/basilpaddle/src/node/coordination/index.js";
import { noLimits } from "../../packages/basilpaddle/src/node/daemon/directory/allowanceService.js";
import type { CallResponse } from "../../packages/basilpaddle/src/node/daemon/directory/callServer.js";
import type { Departure } from "../../packages/basilpaddle/src/node/daemon/directory/directoryWire.js";
import { RestartCache } from "../../packages/basilpaddle/src/node/daemon/directory/restartCache.js";
import { noServerLimits } from "../../packages/basilpaddle/src/node/daemon/directory/serverLimitService.js";
import { ServerMembership } from "../../packages/basilpaddle/src/node/daemon/directory/serverMembership.js";
import type { ServerAnnouncement, WatchRequest } from "../../packages/basilpaddle/src/node/protocol/index.js";
import { MemoryDisk } from "../../packages/basilpaddle/src/node/state/index.js";
import { createSilentLogger } from "../../packages/basilpaddle/src/node/utils/index.js";
import type { ManualClock } from "../manualClock.js";
import type { MemoryNetwork } from "./memoryNetwork.js";

/** Interval of a directory's periodic checks. */
const reviewMilliseconds = 300;
/** Milliseconds between two heartbeats of a backend server. */
export const heartbeatMilliseconds = 1_200;
/** Number of lost hosts with a disk that the emulated deployment tolerates. */
const tolerated = 1;
const callsSuffix = "/calls";
const failureDomains = ["a", "b", "c"];

/** A call of a backend server. */
export type ServerCall =
    | { readonly kind: "announce"; readonly announced: ServerAnnouncement; }
    | { readonly kind: "leave"; readonly departure: Departure; };

/** Address at which a directory takes calls of backend servers. */
export function callsAddress(directory: string): string {
    return `${directory}${callsSuffix}`;
}

/** What all processes of an emulated deployment share. */
export type World = {
    readonly clock: ManualClock;
    readonly network: MemoryNetwork;
    /** Addresses of all directories. */
    readonly directories: readonly string[];
};

/** A process that is killed and started again; what it knew in memory is lost. */
abstract class EmulatedProcess {
    /** Number of the current run; undefined while the process is down. */
    private run: number | undefined;
    private runs = 0;

    protected constructor(protected readonly world: World, readonly address: string, readonly number: number) {}

    get failureDomain(): string {
        return failureDomains[this.number % failureDomains.length]!;
    }

    isRunning(): boolean {
        return this.run !== undefined;
    }

    async start(): Promise<void> {
        this.runs += 1;
        this.run = this.runs;
        await this.open(this.isStopped(this.run));
    }

    kill(): void {
        this.run = undefined;
        this.drop();
    }

    protected abstract open(isStopped: () => boolean): Promise<void>;
    protected abstract drop(): void;

    private isStopped(run: number): () => boolean {
        return () => this.run !== run;
    }
}

/** A directory, as far as it concerns backend servers. Its disk outlives it. */
export class EmulatedDirectory extends EmulatedProcess {
    membership: ServerMembership | undefined;
    private disk = MemoryDisk.create();
    private cache: RestartCache | undefined;
    private stopListening: (() => void) | undefined;

    static create(world: World, address: string, number: number): EmulatedDirectory {
        return new EmulatedDirectory(world, address, number);
    }

    protected override async open(isStopped: () => boolean): Promise<void> {
        const { clock, network, directories } = this.world;
        const logger = createSilentLogger();
        const cache = await RestartCache.create({ openDisk: async () => this.disk, clock, logger });
        const incarnation = `${this.address} at ${clock.monotonic()}`;
        const membership = ServerMembership.create({
            name: this.address,
            incarnation,
            failureDomain: this.failureDomain,
            heartbeat: heartbeatMilliseconds,
            tolerated,
            seeds: () => directories,
            network: network.viewOf(this.address, isStopped),
            restartCache: cache,
            quarantined: { latestChange: () => 0, changedAfter: () => [] },
            document: () => ({ version: 1, content: "" }),
            members: () => ({ members: directories, leader: undefined }),
            ejected: () => [],
            limits: () => noLimits,
            serverLimits: () => noServerLimits,
            onInstancesChanged: () => undefined,
            onFirstHeard: () => undefined,
            onCrashes: () => undefined,
            knownCrashes: () => [],
            clock,
            activeClock: clock,
            logger,
        });
        cache.setSource(() => ({
            identity: this.address,
            committed: { index: 1, term: 1 },
            servers: membership.serversForRestart(),
            gateways: membership.watches.gatewayCount(),
            crashes: [],
            versions: undefined,
        }));
        this.cache = cache;
        this.membership = membership;
        membership.start();
        const stopPeers = network.listen(this.address, body => membership.handle(body as WatchRequest));
        const stopCalls = network.listen(callsAddress(this.address), body => applyCall(membership, body as ServerCall));
        this.stopListening = () => {
            stopPeers();
            stopCalls();
        };
        this.reviewPeriodically(membership, isStopped);
    }

    protected override drop(): void {
        this.stopListening?.();
        this.membership?.close();
        this.membership = undefined;
        this.cache?.close();
        this.disk = this.disk.crash();
    }

    private reviewPeriodically(membership: ServerMembership, isStopped: () => boolean): void {
        this.world.clock.after(reviewMilliseconds, () => {
            if (!isStopped()) {
                membership.review();
                this.reviewPeriodically(membership, isStopped);
            }
        });
    }
}

function applyCall(membership: ServerMembership, call: ServerCall): Promise<CallResponse> {
    return call.kind === "announce" ? membership.announce(call.announced) : membership.leave(call.departure);
}

/** A gateway, as far as it chooses backend servers. */
export class EmulatedGateway extends EmulatedProcess {
    private instances = InstanceTable.create();
    private watcher: DirectoryWatcher | undefined;

    private constructor(world: World, address: string, number: number, private readonly onAnnounced: () => void) {
        super(world, address, number);
    }

    /** `onAnnounced` is called after each announcement that it has applied. */
    static create(world: World, address: string, number: number, onAnnounced: () => void): EmulatedGateway {
        return new EmulatedGateway(world, address, number, onAnnounced);
    }

    /** Backend servers that it would send a request to now. */
    usable(service: string): readonly string[] {
        const maySend = this.isRunning() && this.watcher?.hasFirstAnswers() === true;
        return maySend ? this.instances.usable(service).map(({ id }) => id) : [];
    }

    protected override async open(isStopped: () => boolean): Promise<void> {
        const { clock, network, directories } = this.world;
        const logger = createSilentLogger();
        const instances = InstanceTable.create();
        this.instances = instances;
        this.watcher = DirectoryWatcher.create({
            name: this.address,
            observer: false,
            failureDomain: this.failureDomain,
            seeds: () => directories,
            network: network.viewOf(this.address, isStopped),
            clock,
            logger,
            onAnnounced: (announced, directory) => {
                applyAnnouncement(instances, announced, directory, logger);
                this.onAnnounced();
            },
            onCrashes: () => undefined,
            knownCrashes: () => [],
        });
    }

    protected override drop(): void {
        this.watcher?.close();
    }
}
