import {
    InstanceTable,
    type KnownDirectory,
    type ResolvedOrigin,
} from "../../packages/basilpaddle/src/node/coordination/index.js";
import { StreamRegistry } from "../../packages/basilpaddle/src/node/daemon/directory/streamRegistry.js";
import type { CallerRequest } from "../../packages/basilpaddle/src/node/daemon/gateway/callerRequest.js";
import { StreamVersions } from "../../packages/basilpaddle/src/node/daemon/gateway/streamVersions.js";
import {
    type OriginQuery,
    type OriginReport,
    type ServerAnnouncement,
    type StoredVersionHistory,
} from "../../packages/basilpaddle/src/node/protocol/index.js";
import { createSilentLogger, RecordedMetrics, SilentMetrics } from "../../packages/basilpaddle/src/node/utils/index.js";
import type { EmulatedProcess, World } from "./world.js";

const service = "pool";
/** Timeout of the route; a stream may be resumed for twice as long. */
const routeTimeoutMilliseconds = 14_000;
/** Time after which a gateway notices that it doesn't reach a directory. */
const noticeMilliseconds = 2_200;

/** What the product's own classes know of versions in each process of a world: a registry at directories, stream versions at gateways. */
export class VersionProcesses {
    private readonly registries = new Map<EmulatedProcess, StreamRegistry>();
    private readonly gateways = new Map<EmulatedProcess, StreamVersions>();
    /** What is on the directories' disks. */
    private readonly disks = new Map<EmulatedProcess, StoredVersionHistory>();

    private constructor(private readonly world: World) {
        world.directories.forEach(directory => {
            this.startDirectory(directory, true);
            world.listen(
                directory,
                body => this.registries.get(directory)!.handle(body as OriginReport | OriginQuery),
            );
        });
        world.gateways.forEach(gateway => this.startGateway(gateway));
    }

    static create(world: World): VersionProcesses {
        return new VersionProcesses(world);
    }

    /** Whether streams may begin at a version of engines, as a gateway knows it. */
    isEstablished(gateway: EmulatedProcess, version: string): boolean {
        return this.gateways.get(gateway)!.isEstablished(announcementOf(version));
    }

    /** Records that a stream begins; resolves with whether more than half of the directories know of it, or needn't, after 0.1 s at most. */
    async begin(gateway: EmulatedProcess, attempt: string, version: string): Promise<boolean> {
        const report = this.gateways.get(gateway)!.begin(requestOf(attempt), service, version, 1);
        return await report?.acknowledged(reportTimeoutMilliseconds) ?? true;
    }

    /** Finds the version that began a stream. */
    resolve(gateway: EmulatedProcess, attempt: string): Promise<ResolvedOrigin> {
        return this.gateways.get(gateway)!.resolve(requestOf("next", attempt), service);
    }

    /** Lets all running processes look at the engines that they know; to be called a few times per second. */
    review(): void {
        const { world } = this;
        const running = ({ isRunning }: EmulatedProcess): boolean => isRunning;
        world.directories.filter(running).forEach(directory => this.registries.get(directory)!.review());
        world.gateways.filter(running).forEach(gateway => {
            world.versionsAt(gateway).forEach(version => this.gateways.get(gateway)!.observe(announcementOf(version)));
        });
    }

    /** Starts a process anew. Directories keep what is on their disks, unless they lose them. */
    restart(process: EmulatedProcess, losesDisk = false): void {
        if (losesDisk) {
            this.disks.delete(process);
        }
        if (this.registries.has(process)) {
            this.startDirectory(process, false);
        }
        else {
            this.gateways.get(process)!.close();
            this.startGateway(process);
        }
    }

    /** Number of streams that one directory has recorded, at most. */
    records(): number {
        const metrics = RecordedMetrics.create();
        const counts = [...this.registries.values()].map(registry => {
            registry.measure(metrics);
            return Number(/^basilpaddle_stream_origins (\d+)$/m.exec(metrics.text())?.[1]);
        });
        return Math.max(...counts);
    }

    /** Stops all gateways. */
    close(): void {
        this.gateways.forEach(gateway => gateway.close());
    }

    private startDirectory(process: EmulatedProcess, firstStart: boolean): void {
        const registry: StreamRegistry = StreamRegistry.create({
            instances: () => this.instancesOf(process),
            firstStart,
            restored: this.disks.get(process),
            store: () => {
                this.disks.set(process, registry.storedVersions());
                return Promise.resolve(true);
            },
            clock: this.world.clock,
            logger: createSilentLogger(),
        });
        this.registries.set(process, registry);
    }

    private startGateway(process: EmulatedProcess): void {
        const { world } = this;
        const directories = world.directories.map(directory => {
            return { directory, name: directory.address, link: world.link(process, directory) };
        });
        const gateway = StreamVersions.create({
            directories: () =>
                directories.map(({ directory, ...known }): KnownDirectory => {
                    return { ...known, reached: (world.splitFor(process, directory) ?? 0) <= noticeMilliseconds };
                }),
            servers: () => world.versionsAt(process).map(announcementOf),
            clock: world.clock,
            logger: createSilentLogger(),
            metrics: SilentMetrics.create(),
        });
        this.gateways.set(process, gateway);
        world.versionsAt(process).forEach(version => gateway.observe(announcementOf(version)));
    }

    private instancesOf(process: EmulatedProcess): InstanceTable {
        const instances = InstanceTable.create();
        this.world.versionsAt(process).forEach(version => instances.apply(announcementOf(version)));
        return instances;
    }
}

/** How long a gateway waits for acknowledgements of a stream's origin. */
const reportTimeoutMilliseconds = 100;

function announcementOf(softwareVersion: string): ServerAnnouncement {
    return {
        id: softwareVersion,
        service,
        address: "",
        failureDomain: "",
        slots: 1,
        state: "ready",
        stage: "decode",
        softwareVersion,
        sequence: 1,
    };
}

function requestOf(attempt: string, resumes?: string): CallerRequest {
    const metadata = { promptTokens: 1, ...resumes === undefined ? {} : { resumes } };
    return {
        attempt,
        route: { timeout: routeTimeoutMilliseconds, resumable: true },
        metadata,
    } as unknown as CallerRequest;
}
