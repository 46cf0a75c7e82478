import {
    PathMonitor,
    type ProbeOutcome,
    RelayPeers,
    RelayRegistry,
} from "../../packages/basilpaddle/src/node/coordination/index.js";
import type { RelayRegistration, ServerAnnouncement } from "../../packages/basilpaddle/src/node/protocol/index.js";
import {
    createSilentLogger,
    type Randomness,
    SeededRandomness,
    SilentMetrics,
} from "../../packages/basilpaddle/src/node/utils/index.js";
import type { PartitionKind } from "../../playground/harness/partition.js";
import { ManualClock } from "../manualClock.js";
import { SimulatedBalancer } from "./balancer.js";

/** Ways to serve the callers of partitioned gateways. `both` relays, and sends callers elsewhere. */
export const ways = ["none", "unready", "relay", "both"] as const;
/** A way to serve the callers of partitioned gateways. */
export type Way = typeof ways[number];

/** An emulated day: some gateways are partitioned from all servers from `from` to `to` milliseconds. */
export type PartitionDay = {
    /** Number of gateways of each failure domain. */
    readonly domains: readonly number[];
    readonly servers: number;
    readonly requestsPerSecond: number;
    readonly partitioned: (gateway: number, domain: number) => boolean;
    readonly kind: PartitionKind;
    readonly from: number;
    readonly to: number;
    readonly length: number;
};

/** Fractions of first tries that were served; NaN where there were none. */
export type PartitionOutcome = {
    /** At partitioned gateways in the first 3 s, after them, and in the 2 s after the partition. */
    readonly early: number;
    readonly late: number;
    readonly after: number;
    /** At the other gateways, while the partition lasts. */
    readonly others: number;
    /** At all gateways, while the partition lasts. */
    readonly all: number;
    /** Largest fraction of all relayed calls that one gateway relayed. */
    readonly mostRelayed: number;
};

const connectMilliseconds = 3;
const connectTimeoutMilliseconds = 250;
const hopMilliseconds = 3;
const callMilliseconds = 25;
const callerLimitMilliseconds = 1_500;
const maxRounds = 3;
const earlyMilliseconds = 3_000;
const afterMilliseconds = 2_000;
const checkIntervalMilliseconds = 1_000;

type Attempt = { readonly gateway: number; readonly at: number; served: boolean; };

/** A gateway with the product's own decisions, on simulated links. */
class SimulatedGateway {
    readonly monitor: PathMonitor;
    readonly relays: RelayPeers;
    relayedCalls = 0;
    private bytes = 0;
    private keptConnections = 0;

    constructor(readonly index: number, readonly domain: number, private readonly simulation: PartitionSimulation) {
        const { clock, random, servers } = simulation;
        const common = { clock, logger: createSilentLogger() };
        this.monitor = PathMonitor.create({
            ...common,
            name: `gateway-${index}`,
            servers: () => servers,
            probe: () => this.probe(),
            receivedBytes: () => this.bytes,
            onChanged: () => this.relays.registerNow(),
            randomness: random,
            metrics: SilentMetrics.create(),
        });
        const directory = {
            request: (body: unknown) => Promise.resolve(simulation.registry(body as RelayRegistration)),
        };
        this.relays = RelayPeers.create({
            ...common,
            self: { gateway: `gateway-${index}`, failureDomain: `${domain}`, address: `10.0.0.${index}:1` },
            directories: () => [directory as never],
            reachesServers: () => this.monitor.state() === "sound",
        });
    }

    /** Serves one request; resolves with whether it was answered. */
    async serve(): Promise<boolean> {
        for (let round = 0; round < maxRounds; round++) {
            const outcome = await this.call();
            if (outcome !== "notSent") {
                return outcome === "answered";
            }
        }
        return false;
    }

    /** Sends a call directly to a server. */
    async callDirectly(): Promise<"answered" | "lost" | "notSent"> {
        const { clock, servers, random } = this.simulation;
        const server = servers[random.integer(0, servers.length - 1)]!.id;
        const ended = this.monitor.callStarted(server);
        try {
            if (this.keptConnections > 0) {
                this.keptConnections -= 1;
            }
            else if (!await this.connect()) {
                await this.monitor.confirm(server);
                return "notSent";
            }
            await pause(clock, callMilliseconds);
            if (this.isSilent()) {
                await pause(clock, callerLimitMilliseconds - callMilliseconds);
                return "lost";
            }
            if (this.simulation.isPartitioned(this.index) && this.simulation.day.kind === "reset") {
                await this.monitor.confirm(server);
                return "lost";
            }
            this.bytes += 1;
            this.keptConnections += 1;
            return "answered";
        }
        finally {
            ended();
        }
    }

    /** Loses the connections that a partition resets. */
    partitionBegins(): void {
        this.keptConnections = this.simulation.day.kind === "reset" ? 0 : this.keptConnections;
    }

    private async call(): Promise<"answered" | "lost" | "notSent"> {
        const { clock, way, gateways } = this.simulation;
        if (this.monitor.state() === "sound" || way === "none" || way === "unready") {
            return this.callDirectly();
        }
        for (const relay of this.relays.candidates().slice(0, maxRounds)) {
            const helper = gateways.find(({ index }) => relay.gateway === `gateway-${index}`)!;
            const ended = this.relays.callStarted(relay);
            await pause(clock, hopMilliseconds);
            const outcome = helper.monitor.state() === "sound" ? await helper.callDirectly() : "notSent";
            ended();
            if (outcome !== "notSent") {
                helper.relayedCalls += 1;
                return outcome;
            }
            this.relays.avoid(relay, "no tunnel");
        }
        return this.callDirectly();
    }

    private async probe(): Promise<ProbeOutcome> {
        const isEstablished = await this.connect();
        return isEstablished ? "established" : this.simulation.day.kind === "hang" ? "late" : "refused";
    }

    private async connect(): Promise<boolean> {
        const { clock, day } = this.simulation;
        const fails = this.simulation.isPartitioned(this.index);
        await pause(clock, !fails ? connectMilliseconds : day.kind === "hang" ? connectTimeoutMilliseconds : 1);
        return !fails && !this.simulation.isPartitioned(this.index);
    }

    private isSilent(): boolean {
        return this.simulation.isPartitioned(this.index) && this.simulation.day.kind === "hang";
    }
}

/** Plays a day without a real clock. */
class PartitionSimulation {
    readonly clock = new ManualClock();
    readonly random: Randomness;
    readonly gateways: SimulatedGateway[] = [];
    readonly servers: readonly ServerAnnouncement[];
    private readonly relayRegistry = RelayRegistry.create();
    private readonly attempts: Attempt[] = [];

    constructor(readonly day: PartitionDay, readonly way: Way, seed: number) {
        this.random = SeededRandomness.create(seed);
        this.servers = Array.from({ length: day.servers }, (_, index) => ({
            id: `server-${index}`,
            service: index % 4 === 0 ? "plain" : "pool",
            address: `10.1.0.${index}:1`,
            failureDomain: "0",
            slots: 8,
            state: "ready",
            sequence: 1,
        }));
        const domains = day.domains.flatMap((count, domain) => new Array<number>(count).fill(domain));
        domains.forEach((domain, index) => this.gateways.push(new SimulatedGateway(index, domain, this)));
    }

    registry(registration: RelayRegistration) {
        const answer = this.relayRegistry.register(registration, this.clock.monotonic());
        return { toMaybe: () => ({ extract: () => answer }) };
    }

    isPartitioned(gateway: number): boolean {
        const now = this.clock.monotonic();
        return now >= this.day.from && now < this.day.to && this.isChosen(gateway);
    }

    async play(): Promise<PartitionOutcome> {
        const { clock, day, gateways, random, way } = this;
        const redirects = way === "unready" || way === "both";
        const balancer = SimulatedBalancer.create(gateways, gateway => {
            return !redirects || gateway.monitor.state() === "sound";
        });
        let nextCheck = 0;
        let hasBegun = false;
        while (clock.monotonic() < day.length) {
            if (clock.monotonic() >= nextCheck) {
                nextCheck += checkIntervalMilliseconds;
                balancer.check();
            }
            if (!hasBegun && clock.monotonic() >= day.from) {
                hasBegun = true;
                gateways.filter(({ index }) => this.isChosen(index)).forEach(gateway => gateway.partitionBegins());
            }
            const gateway = balancer.choose(random);
            const attempt = { gateway: gateway.index, at: clock.monotonic(), served: false };
            this.attempts.push(attempt);
            void gateway.serve().then(served => {
                attempt.served = served;
            });
            await clock.advance(-Math.log(1 - random.fraction()) * 1_000 / day.requestsPerSecond);
        }
        await clock.advance(callerLimitMilliseconds);
        gateways.forEach(({ monitor, relays }) => {
            monitor.close();
            relays.close();
        });
        return this.outcome();
    }

    private outcome(): PartitionOutcome {
        const { from, to } = this.day;
        const relayed = this.gateways.map(({ relayedCalls }) => relayedCalls);
        const total = relayed.reduce((sum, count) => sum + count, 0);
        return {
            early: this.servedFraction(true, from, from + earlyMilliseconds),
            late: this.servedFraction(true, from + earlyMilliseconds, to),
            after: this.servedFraction(true, to, to + afterMilliseconds),
            others: this.servedFraction(false, from, to),
            all: this.servedFraction(undefined, from, to),
            mostRelayed: total === 0 ? 0 : Math.max(...relayed) / total,
        };
    }

    /** `atPartitioned`: whether those at partitioned gateways are counted, or the others; all if undefined. */
    private servedFraction(atPartitioned: boolean | undefined, from: number, to: number): number {
        const counted = this.attempts.filter(({ at, gateway }) => {
            return at >= from && at < to && (atPartitioned === undefined || this.isChosen(gateway) === atPartitioned);
        });
        return counted.filter(({ served }) => served).length / counted.length;
    }

    private isChosen(gateway: number): boolean {
        return this.day.partitioned(gateway, this.gateways[gateway]!.domain);
    }
}

/** Plays one emulated day; the same seed gives the same outcome. */
export function simulatePartition(day: PartitionDay, way: Way, seed: number): Promise<PartitionOutcome> {
    return new PartitionSimulation(day, way, seed).play();
}

function pause(clock: ManualClock, milliseconds: number): Promise<void> {
    return new Promise(resolve => clock.after(milliseconds, resolve));
}
