import { SeededRandomness } from "../../packages/basilpaddle/src/node/utils/index.js";
import { flushPromises, ManualClock } from "../manualClock.js";
import type { Departure, DepartureDay, Isolation, Kill, Restart } from "./day.js";
import { Deployment } from "./deployment.js";
import { EmulatedServer, service } from "./emulatedServer.js";
import { EmulatedDirectory, EmulatedGateway, heartbeatMilliseconds, type World } from "./processes.js";

/** Time from the acknowledgement after which a leaving server gets no more work. */
const drainMilliseconds = 2_000;
/** Time within which a sound server gets work again after a leave call of its previous incarnation. */
const reinstateMilliseconds = 20_000;
/** Time in which a gateway learns of backend servers after its start. */
const gatewayStartMilliseconds = 1_000;
/** Time within which a leave is acknowledged. */
const acknowledgeMilliseconds = 4_000;
const stepMilliseconds = 20;
const restartMilliseconds = 500;

/** What a day showed. */
export type DepartureOutcome = {
    /** Choices of a server by a gateway later than it may be chosen. */
    readonly late: readonly string[];
    /** Servers whose leaving wasn't acknowledged in time. */
    readonly unacknowledged: readonly string[];
    /** Sound servers that get no work since their previous incarnation's leave call arrived. */
    readonly excluded: readonly string[];
    /** Milliseconds from the first call of each server that leaves to its acknowledgement. */
    readonly acknowledgeTimes: readonly number[];
};

/** Plays a day on the classes that directories and gateways run; the same seed gives the same outcome. */
export async function simulateDepartures(day: DepartureDay, seed: number): Promise<DepartureOutcome> {
    const simulation = new DepartureSimulation(day, seed);
    return simulation.run();
}

class DepartureSimulation {
    private readonly deployment: Deployment;
    private readonly clock: ManualClock;
    private readonly random: SeededRandomness;
    private readonly world: World;
    private readonly directories: readonly EmulatedDirectory[];
    private readonly gateways: readonly EmulatedGateway[];
    private readonly gatewayStarts = new Map<EmulatedGateway, number>();
    private readonly servers = new Map<number, EmulatedServer>();
    private readonly late = new Map<string, string>();
    private readonly leaving: { readonly server: EmulatedServer; readonly calledAt: number; }[] = [];
    private readonly restarted: { readonly server: EmulatedServer; readonly leaveArrivedAt: number; }[] = [];
    private readonly excluded = new Set<string>();

    constructor(private readonly day: DepartureDay, seed: number) {
        this.random = SeededRandomness.create(seed);
        this.deployment = Deployment.create(day, this.random, () => this.check());
        this.clock = this.deployment.clock;
        this.world = this.deployment.world;
        this.directories = this.deployment.directories;
        this.gateways = this.deployment.gateways;
    }

    async run(): Promise<DepartureOutcome> {
        const { day, clock } = this;
        await this.deployment.start();
        for (let number = 0; number < day.servers; number++) {
            this.servers.set(
                number,
                EmulatedServer.create(this.world, number, this.random.integer(0, heartbeatMilliseconds)),
            );
        }
        this.schedule();
        while (clock.monotonic() < day.length) {
            await clock.advance(stepMilliseconds);
            this.check();
        }
        await flushPromises();
        return this.outcome();
    }

    private schedule(): void {
        const { day, clock } = this;
        day.departures.forEach(departure => clock.after(departure.at, () => this.leave(departure)));
        day.kills.forEach(kill => clock.after(kill.at, () => this.kill(kill)));
        day.isolations.forEach(isolation => clock.after(isolation.at, () => this.isolate(isolation)));
        day.restarts.forEach(restart => clock.after(restart.at, () => this.restart(restart)));
        day.silences.forEach(({ server, at }) => clock.after(at, () => this.servers.get(server)?.fallSilent()));
    }

    private leave({ server: number, kind, directory, lateHeartbeat }: Departure): void {
        const server = this.servers.get(number)!;
        if (lateHeartbeat !== undefined) {
            const heartbeat = server.heartbeat();
            this.clock.after(lateHeartbeat.by, () => void server.call(lateHeartbeat.directory, heartbeat));
        }
        this.leaving.push({ server, calledAt: this.clock.monotonic() });
        void server.leave(kind, directory);
    }

    private kill({ downFor, directories, gateways }: Kill): void {
        const killed = [
            ...directories.map(number => this.directories[number]!),
            ...gateways.map(number => this.gateways[number]!),
        ].filter(process => process.isRunning());
        killed.forEach(process => process.kill());
        this.clock.after(downFor, () => {
            killed.forEach(process => {
                if (process instanceof EmulatedGateway) {
                    this.gatewayStarts.set(process, this.clock.monotonic());
                }
                void process.start();
            });
        });
    }

    private isolate({ directory, lasts }: Isolation): void {
        const { network, directories } = this.world;
        network.setIsolated(directories[directory]!, true);
        this.clock.after(lasts, () => network.setIsolated(directories[directory]!, false));
    }

    private restart({ server: number, leaveArrivesAfter, directory }: Restart): void {
        const previous = this.servers.get(number)!;
        const leaveCall = previous.leaveCall("leaveFirst");
        previous.crash();
        this.clock.after(restartMilliseconds, () => {
            const server = EmulatedServer.create(this.world, number, 0);
            this.servers.set(number, server);
            this.clock.after(leaveArrivesAfter, () => {
                this.restarted.push({ server, leaveArrivedAt: this.clock.monotonic() });
                void server.call(directory, leaveCall);
            });
        });
    }

    private check(): void {
        const now = this.clock.monotonic();
        for (const gateway of this.gateways.filter(one => one.isRunning())) {
            const usable = new Set(gateway.usable(service));
            for (const { server } of this.leaving) {
                const { acknowledgedAt = now, id } = server;
                const after = now - acknowledgedAt;
                if (after > drainMilliseconds && server.isServing() && usable.has(id)) {
                    const key = `${id} at ${gateway.address}`;
                    this.late.set(
                        key,
                        this.late.get(key) ?? `${key}, ${Math.round(after)} ms after its leaving was acknowledged`,
                    );
                }
            }
            for (const { server, leaveArrivedAt } of this.restarted) {
                const isSettled = now - (this.gatewayStarts.get(gateway) ?? 0) > gatewayStartMilliseconds;
                const isDue = now - leaveArrivedAt > reinstateMilliseconds && isSettled;
                if (isDue && !usable.has(server.id)) {
                    this.excluded.add(`${server.id} at ${gateway.address}`);
                }
            }
        }
    }

    private outcome(): DepartureOutcome {
        const now = this.clock.monotonic();
        const isOverdue = (
            { server, calledAt }: { readonly server: EmulatedServer; readonly calledAt: number; },
        ): boolean => {
            return (server.acknowledgedAt ?? now) - calledAt > acknowledgeMilliseconds;
        };
        return {
            late: [...this.late.values()],
            unacknowledged: this.leaving.filter(isOverdue).map(({ server }) => server.id),
            excluded: [...this.excluded],
            acknowledgeTimes: this.leaving.flatMap(({ server, calledAt }) => {
                return server.acknowledgedAt === undefined ? [] : [server.acknowledgedAt - calledAt];
            }),
        };
    }
}
