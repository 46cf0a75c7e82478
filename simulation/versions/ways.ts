import {
    type KnownDirectory,
    OriginReporter,
    resolveOrigin,
    StreamOrigins,
    VersionHistory,
} from "../../packages/basilpaddle/src/node/coordination/index.js";
import type { OriginQuery, OriginReport, StreamOrigin } from "../../packages/basilpaddle/src/node/protocol/index.js";
import { createSilentLogger, hashToFraction } from "../../packages/basilpaddle/src/node/utils/index.js";
import type { EmulatedProcess, World } from "./world.js";

const service = "pool";
/** Time for which a stream may be resumed. */
const lifetimeMilliseconds = 30_000;
const askTimeoutMilliseconds = 300;
const ackTimeoutMilliseconds = 100;
/** Time after which a gateway that is cut off notices it. */
const noticeMilliseconds = 2_200;

/** A way to know the version that began a stream. */
export abstract class VersionWay {
    abstract readonly name: string;

    protected constructor(protected readonly world: World) {}

    /** Chooses the version of a new stream. */
    chooseVersion(_gateway: EmulatedProcess, _attempt: string, versions: readonly string[]): string {
        return this.world.pick(versions)!;
    }

    /** Called as a run is sent; resolves when its first event may leave. */
    abstract begin(gateway: EmulatedProcess, attempt: string, version: string): Promise<void>;

    /** The version at which a resumed stream continues; undefined if it is refused. */
    abstract resolve(gateway: EmulatedProcess, attempt: string): Promise<string | undefined>;

    /** Called when a process was killed: its memory is lost. */
    abstract killed(process: EmulatedProcess): void;

    /** Called periodically with what is served. */
    review(): void {
        // Most ways keep no account of the versions.
    }

    /** Largest number of streams that one process has recorded. */
    abstract records(): number;
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

    override begin(gateway: EmulatedProcess, attempt: string, version: string): Promise<void> {
        this.kept.get(gateway)!.set(attempt, version);
        return Promise.resolve();
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

    override begin(gateway: EmulatedProcess, attempt: string, version: string): Promise<void> {
        const { leader } = this.world;
        if (leader?.isRunning === true && !gateway.isCut) {
            this.kept.get(leader)!.set(attempt, version);
        }
        return Promise.resolve();
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
    /** What gateways that are cut off know. */
    private readonly stale = new Map<EmulatedProcess, readonly string[]>();

    static create(world: World): FunctionOfAttempt {
        return new FunctionOfAttempt(world);
    }

    override chooseVersion(_gateway: EmulatedProcess, attempt: string, versions: readonly string[]): string {
        const score = (version: string): number => hashToFraction(attempt + version);
        return [...versions].sort((one, other) => score(one) - score(other))[0]!;
    }

    override begin(): Promise<void> {
        return Promise.resolve();
    }

    override resolve(gateway: EmulatedProcess, attempt: string): Promise<string | undefined> {
        const versions = gateway.isCut ? this.stale.get(gateway) : this.world.versions;
        this.stale.set(gateway, versions ?? this.world.versions);
        return Promise.resolve(this.chooseVersion(gateway, attempt, versions ?? this.world.versions));
    }

    override killed(): void {
        // There is nothing to lose.
    }

    override records(): number {
        return 0;
    }
}

/** Gateways tell all directories, and wait for more than half of them: the product's own classes. */
export class AskDirectories extends VersionWay {
    override readonly name = "directories";
    private readonly origins = new Map<EmulatedProcess, StreamOrigins>();
    private readonly histories = new Map<EmulatedProcess, VersionHistory>();
    private readonly reporters = new Map<EmulatedProcess, OriginReporter>();
    private readonly cutSince = new Map<EmulatedProcess, number>();

    static create(world: World): AskDirectories {
        const way = new AskDirectories(world);
        world.directories.forEach(directory => {
            way.origins.set(directory, StreamOrigins.create());
            way.histories.set(directory, VersionHistory.create(Number.NEGATIVE_INFINITY));
            world.listen(directory, body => way.answer(directory, body as OriginReport | OriginQuery));
        });
        world.gateways.forEach(gateway => {
            way.origins.set(gateway, StreamOrigins.create());
            const directories = (): KnownDirectory[] => way.directoriesOf(gateway);
            way.reporters.set(
                gateway,
                OriginReporter.create({ directories, clock: world.clock, logger: createSilentLogger() }),
            );
        });
        return way;
    }

    override async begin(gateway: EmulatedProcess, attempt: string, version: string): Promise<void> {
        const origin: StreamOrigin = { service, attempt, version, binding: 1, keepFor: lifetimeMilliseconds };
        this.origins.get(gateway)!.record(origin, this.world.now());
        await this.reporters.get(gateway)!.report(origin).acknowledged(ackTimeoutMilliseconds);
    }

    override async resolve(gateway: EmulatedProcess, attempt: string): Promise<string | undefined> {
        const { clock } = this.world;
        const own = this.origins.get(gateway)!.find(service, attempt, this.world.now());
        if (own !== undefined) {
            return own.version;
        }
        const query = { kind: "origin", service, attempt, within: lifetimeMilliseconds } as const;
        const origin = await resolveOrigin(this.directoriesOf(gateway), query, clock);
        return origin.kind === "known" ? origin.version : undefined;
    }

    override killed(process: EmulatedProcess): void {
        this.origins.set(process, StreamOrigins.create());
        const { histories, world } = this;
        const history = histories.get(process);
        if (history !== undefined) {
            const restarted = VersionHistory.create(world.now());
            restarted.restore(history.stored(world.now()), world.now());
            histories.set(process, restarted);
        }
    }

    override review(): void {
        const { world } = this;
        world.directories.filter(({ isRunning }) => isRunning).forEach(directory => {
            this.histories.get(directory)!.observe(world.versions.map(announcementOf), world.now());
        });
        world.gateways.forEach(gateway => {
            if (!gateway.isCut) {
                this.cutSince.delete(gateway);
            }
            else if (!this.cutSince.has(gateway)) {
                this.cutSince.set(gateway, world.now());
            }
        });
    }

    override records(): number {
        return Math.max(...[...this.origins.values()].map(origins => origins.count()));
    }

    private answer(directory: EmulatedProcess, message: OriginReport | OriginQuery): unknown {
        const now = this.world.now();
        const origins = this.origins.get(directory)!;
        if (message.kind === "origins") {
            message.origins.forEach(origin => origins.record(origin, now));
            return { kind: "noted" };
        }
        const history = this.histories.get(directory)!;
        const found = origins.find(service, message.attempt ?? "", now);
        return {
            kind: "origin",
            ...found === undefined ? {} : { found },
            versions: [...history.versions(service, message.within, now)],
            complete: history.covers(message.within, now),
        };
    }

    private directoriesOf(gateway: EmulatedProcess): KnownDirectory[] {
        const { world } = this;
        const isNoticed = world.now() - (this.cutSince.get(gateway) ?? world.now()) > noticeMilliseconds;
        return world.directories.map(directory => {
            return { name: directory.address, link: world.link(gateway, directory), reached: !isNoticed };
        });
    }
}

function announcementOf(softwareVersion: string) {
    const state = "ready" as const;
    const stage = "decode" as const;
    return {
        id: softwareVersion,
        service,
        address: "",
        failureDomain: "",
        slots: 1,
        state,
        stage,
        softwareVersion,
        sequence: 1,
    };
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
    AskDirectories,
];
