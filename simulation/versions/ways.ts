import type { ResolvedOrigin } from "../../packages/basilpaddle/src/node/coordination/index.js";
import { hashToFraction } from "../../packages/basilpaddle/src/node/utils/index.js";
import { VersionProcesses } from "./versionProcesses.js";
import type { EmulatedProcess, World } from "./world.js";

const askTimeoutMilliseconds = 300;

/** A way to know the version that began a stream. */
export abstract class VersionWay {
    abstract readonly name: string;

    protected constructor(protected readonly world: World) {}

    /** Chooses the version of a new stream; undefined if it can't begin. */
    chooseVersion(_gateway: EmulatedProcess, _attempt: string, versions: readonly string[]): string | undefined {
        return this.world.pick(versions);
    }

    /** Called as a run is sent; resolves once its first event may leave, or with false if it may not. */
    abstract begin(gateway: EmulatedProcess, attempt: string, version: string): Promise<boolean>;

    /** The version at which a resumed stream continues; undefined if it is refused. */
    abstract resolve(gateway: EmulatedProcess, attempt: string): Promise<string | undefined>;

    /** Called when a process was killed: its memory is lost. */
    abstract killed(process: EmulatedProcess): void;

    /** Called periodically with what is served. */
    review(): void {
        // Most ways keep no account of the versions.
    }

    /** Number of streams that one process has recorded, at most. */
    abstract records(): number;

    /** Called at the end of a day. */
    close(): void {
        // Most ways run nothing by themselves.
    }
}

/** The gateway that began a stream keeps its version, and all gateways are asked. */
export class AskGateways extends VersionWay {
    override readonly name = "gateways asked";
    private readonly kept = new Map<EmulatedProcess, Map<string, string>>();

    static create(world: World): AskGateways {
        const way = new AskGateways(world);
        world.gateways.forEach(gateway => {
            way.kept.set(gateway, new Map());
            world.listen(gateway, body => ({ version: way.kept.get(gateway)?.get(String(body)) }));
        });
        return way;
    }

    override begin(gateway: EmulatedProcess, attempt: string, version: string): Promise<boolean> {
        this.kept.get(gateway)!.set(attempt, version);
        return Promise.resolve(true);
    }

    override async resolve(gateway: EmulatedProcess, attempt: string): Promise<string | undefined> {
        const own = this.kept.get(gateway)?.get(attempt);
        if (own !== undefined) {
            return own;
        }
        const others = this.world.gateways.filter(other => other !== gateway);
        const answers = await Promise.all(others.map(other => ask(this.world, gateway, other, attempt)));
        return answers.find(version => version !== undefined);
    }

    override killed(process: EmulatedProcess): void {
        this.kept.get(process)?.clear();
    }

    override records(): number {
        return Math.max(...[...this.kept.values()].map(({ size }) => size));
    }
}

/** The leader knows attempt and engine from its placement. */
export class AskLeader extends VersionWay {
    override readonly name = "placing leader";
    private readonly kept = new Map<EmulatedProcess, Map<string, string>>();

    static create(world: World): AskLeader {
        const way = new AskLeader(world);
        world.directories.forEach(directory => {
            way.kept.set(directory, new Map());
            world.listen(directory, body => ({ version: way.kept.get(directory)?.get(String(body)) }));
        });
        return way;
    }

    override begin(gateway: EmulatedProcess, attempt: string, version: string): Promise<boolean> {
        const { leader } = this.world;
        if (leader?.isRunning === true && this.world.splitFor(gateway, leader) === undefined) {
            this.kept.get(leader)!.set(attempt, version);
        }
        return Promise.resolve(true);
    }

    override async resolve(gateway: EmulatedProcess, attempt: string): Promise<string | undefined> {
        const { leader } = this.world;
        return leader === undefined ? undefined : ask(this.world, gateway, leader, attempt);
    }

    override killed(process: EmulatedProcess): void {
        this.kept.get(process)?.clear();
    }

    override records(): number {
        return Math.max(...[...this.kept.values()].map(({ size }) => size));
    }
}

/** No record: the version is a function of the attempt and of the versions that a gateway knows. */
export class FunctionOfAttempt extends VersionWay {
    override readonly name = "function of the attempt";
    static create(world: World): FunctionOfAttempt {
        return new FunctionOfAttempt(world);
    }

    override chooseVersion(_gateway: EmulatedProcess, attempt: string, versions: readonly string[]): string {
        const score = (version: string): number => hashToFraction(attempt + version);
        return [...versions].sort((one, other) => score(one) - score(other))[0]!;
    }

    override begin(): Promise<boolean> {
        return Promise.resolve(true);
    }

    override resolve(gateway: EmulatedProcess, attempt: string): Promise<string | undefined> {
        return Promise.resolve(this.chooseVersion(gateway, attempt, this.world.versionsAt(gateway)));
    }

    override killed(): void {
        // There is nothing to lose.
    }

    override records(): number {
        return 0;
    }
}

/** Directories are told of streams, and asked: the product's own classes. What each way adds to them is stated with it. */
abstract class ProductWay extends VersionWay {
    protected readonly processes = VersionProcesses.create(this.world);

    override async begin(gateway: EmulatedProcess, attempt: string, version: string): Promise<boolean> {
        await this.processes.begin(gateway, attempt, version);
        return true;
    }

    override async resolve(gateway: EmulatedProcess, attempt: string): Promise<string | undefined> {
        const origin = await this.processes.resolve(gateway, attempt);
        return origin.kind === "known" && this.trusts(gateway, origin) ? origin.version : undefined;
    }

    override killed(process: EmulatedProcess): void {
        this.processes.restart(process);
    }

    override review(): void {
        this.processes.review();
    }

    override close(): void {
        this.processes.close();
    }

    override records(): number {
        return this.processes.records();
    }

    /** Whether the way goes by what was found. */
    protected trusts(_gateway: EmulatedProcess, origin: ResolvedOrigin): boolean {
        return origin.kind === "known";
    }
}

/** Streams begin at any version, 0.1 s after most directories were told at the latest. */
export class ReportedOrigins extends ProductWay {
    override readonly name = "reported, 0.1 s awaited";

    static create(world: World): ReportedOrigins {
        return new ReportedOrigins(world);
    }
}

/** No first event leaves before more than half of the directories know of the stream. */
export class ReportRequired extends ProductWay {
    override readonly name = "reported, required";

    static create(world: World): ReportRequired {
        return new ReportRequired(world);
    }

    override begin(gateway: EmulatedProcess, attempt: string, version: string): Promise<boolean> {
        return this.processes.begin(gateway, attempt, version);
    }
}

/** Streams begin only at versions that more than half of the directories know. */
export class EstablishedOnly extends ProductWay {
    override readonly name = "established versions";

    static create(world: World): EstablishedOnly {
        return new EstablishedOnly(world);
    }

    override chooseVersion(
        gateway: EmulatedProcess,
        attempt: string,
        versions: readonly string[],
    ): string | undefined {
        const established = versions.filter(version => this.processes.isEstablished(gateway, version));
        return super.chooseVersion(gateway, attempt, established);
    }
}

/** The only version counts as a stream's if all directories are reached. */
export class AllDirectories extends ProductWay {
    override readonly name = "only version by all";

    static create(world: World): AllDirectories {
        return new AllDirectories(world);
    }

    protected override trusts(gateway: EmulatedProcess, origin: ResolvedOrigin): boolean {
        const reachesAll = this.world.directories.every(directory => {
            return directory.isRunning && this.world.splitFor(gateway, directory) === undefined;
        });
        return reachesAll || origin.kind !== "known" || origin.source !== "onlyVersion";
    }
}

async function ask(
    world: World,
    from: EmulatedProcess,
    to: EmulatedProcess,
    attempt: string,
): Promise<string | undefined> {
    const answer = await world.link(from, to).request(attempt, askTimeoutMilliseconds);
    return (answer.toMaybe().extract() as { readonly version?: string; } | undefined)?.version;
}

/** All ways that are compared. */
export const ways: readonly { readonly create: (world: World) => VersionWay; }[] = [
    AskGateways,
    AskLeader,
    FunctionOfAttempt,
    ReportedOrigins,
    ReportRequired,
    EstablishedOnly,
    AllDirectories,
];
