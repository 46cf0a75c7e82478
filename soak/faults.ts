import { partitionKinds, pause } from "../playground/harness/index.js";
import type { Backend } from "./backend.js";
import { BackendDepartures, pickByFraction } from "./backendDepartures.js";
import { type Callers, routePrefixes } from "./callers.js";
import type { SoakDeployment } from "./deployment.js";
import type { Invariants } from "./invariants.js";
import type { Member } from "./member.js";
import type { Operator } from "./operator.js";
import { type Fault, type FaultKind, plannedKinds } from "./plan.js";
import { standStill } from "./standstillFault.js";
import { poisonBody, poisonPart } from "./texts.js";

/** Longest time for which all directories are down together. */
const maxOutageMilliseconds = 2_000;
/** Time that a directory with an empty disk gets to replicate the state of the others before a disk may be lost again. */
const catchUpMilliseconds = 7_000;
/** Factor by which the processing times of a slow backend server are multiplied. */
const backendSlowdownFactor = 6;
/** Requests per second that a backend server names as its limit: a fraction of what it receives otherwise. */
const namedLimit = 1;
/** Delay that slow links add. */
const linkDelayMilliseconds = 120;
/** Interval between two copies of a poison request, and the time it is sent beyond the fault's duration: past the third crash. */
const poisonIntervalMilliseconds = 250;
const poisonExtraMilliseconds = 6_000;
/** Interval between two prompts with a poison part. */
const poisonPromptIntervalMilliseconds = 150;
/** Delay between a stop and the next start of a process. */
const restartDelayMilliseconds = 300;

/** Injects faults at their planned times, concurrently where they overlap, and reverts each of them afterwards. */
export class FaultRunner {
    /** When the last disk was lost, and when the last fault of a directory or of the links between daemons ended. */
    private diskLostAt: number | undefined;
    private directoriesHealthySince = 0;
    private readonly running = new Set<Promise<void>>();
    private readonly departures: BackendDepartures;

    private constructor(
        private readonly deployment: SoakDeployment,
        private readonly operator: Operator,
        private readonly invariants: Invariants,
        private readonly callers: Callers,
        private readonly report: (line: string) => void,
    ) {
        this.departures = BackendDepartures.create(deployment, (fault, target) => this.recordFault(fault, target));
    }

    static create(
        deployment: SoakDeployment,
        operator: Operator,
        invariants: Invariants,
        callers: Callers,
        report: (line: string) => void,
    ): FaultRunner {
        return new FaultRunner(deployment, operator, invariants, callers, report);
    }

    /** Starts each fault at its time; resolves when all of them have ended. */
    async injectAll(faults: readonly Fault[]): Promise<void> {
        const start = performance.now();
        for (const fault of faults) {
            await pause(Math.max(0, start + fault.at - performance.now()));
            const done = this.inject(fault).finally(() => this.running.delete(done));
            this.running.add(done);
        }
        await Promise.all(this.running);
    }

    private async inject(fault: Fault): Promise<void> {
        const { kind } = fault;
        const end = plannedKinds.has(kind) ? undefined : this.invariants.disturb(kind, performance.now());
        try {
            await this.perform(fault);
        }
        finally {
            const now = performance.now();
            end?.(now);
            if (kind.includes("irector") || kind === "killAll" || kind === "slowLinks" || kind === "resetPeers") {
                this.directoriesHealthySince = now;
            }
        }
    }

    private perform(fault: Fault): Promise<void> {
        const { deployment, operator } = this;
        const { lasts, pick } = fault;
        const gateway = pickByFraction(deployment.gateways, pick);
        const directory = pickByFraction(deployment.directories, pick);
        const actions: Readonly<Record<FaultKind, () => Promise<void>>> = {
            killGateway: () => this.killFor(fault, [gateway], lasts),
            pauseGateway: () => this.pauseFor(fault, gateway),
            standStill: () => this.standStill(fault, gateway),
            stopGateway: () => this.restart(fault, gateway),
            killDirectory: () => this.killFor(fault, [directory], lasts),
            pauseDirectory: () => this.pauseFor(fault, directory),
            stopDirectory: () => this.restart(fault, directory),
            wipeDirectory: () => this.restartWithEmptyDisk(fault, directory),
            tearLog: () => this.killFor(fault, [directory], lasts, () => directory.appendTornRecord()),
            replaceDirectory: () => this.replace(fault, directory),
            killDirectories: () => this.killFor(fault, deployment.directories, Math.min(lasts, maxOutageMilliseconds)),
            killAll: () => this.killFor(fault, deployment.members(), Math.min(lasts, maxOutageMilliseconds)),
            cutDirectory: () => this.cutFor(fault, [directory], this.others(directory)),
            cutDirectoryOneWay: () => this.cutOneWayFor(fault, directory),
            cutGateway: () => this.cutFor(fault, [gateway], deployment.directories),
            splitDirectories: () => this.split(fault),
            slowLinks: () => this.slowFor(fault),
            resetCallers: () => this.resetConnections(fault, deployment.gateways, "callers"),
            resetPeers: () => this.resetConnections(fault, deployment.directories, "peers"),
            resetBackends: () => this.forEachBackend(fault, backend => backend.relay.reset()),
            changeSeeds: () => this.changeSeeds(fault),
            crashBackend: () => this.crashBackend(fault),
            deadlyRequests: () => this.sendPoisonRequests(fault),
            poisonPrompts: () => this.sendPoisonPrompts(fault),
            darkenBackend: () => this.impairBackend(fault, backend => backend.relay.stallAll(), healRelay),
            slowBackend: () =>
                this.impairBackend(fault, backend => (backend.slowdownFactor = backendSlowdownFactor), restoreSpeed),
            drainBackend: () =>
                this.departures.replaceOne(fault, { kind: "draining", directory: 0, lateHeartbeat: undefined }),
            leaveBackends: () => this.departures.leaveInSeries(fault),
            replaceVersion: () => this.departures.replaceVersion(fault),
            lapseHandles: () => this.impairBackend(fault, backend => (backend.expiresHandles = true), restoreHandles),
            loseAnswers: () => this.impairBackend(fault, backend => (backend.dropsResponses = true), restoreResponses),
            limitBackend: () => this.limitBackend(fault),
            partitionGateways: () => this.partitionGateways(fault),
            changeConfiguration: () => operator.change(),
            raceConfigurations: () => operator.race(),
            invalidConfiguration: () => operator.sendInvalid(),
        };
        return actions[fault.kind]();
    }

    private async killFor(
        fault: Fault,
        members: readonly Member[],
        lasts: number,
        runWhileDown: () => Promise<void> = () => Promise.resolve(),
    ): Promise<void> {
        const affected = members.filter(member => member.isRunning() && !member.expectedDown);
        this.recordFault(fault, affected.map(({ name }) => name).join(" "));
        await Promise.all(affected.map(member => member.kill()));
        if (affected.length > 0) {
            await runWhileDown();
        }
        await pause(lasts);
        affected.forEach(member => this.startAgain(member));
    }

    private async pauseFor(fault: Fault, member: Member): Promise<void> {
        if (!member.isAwake()) {
            return;
        }
        this.recordFault(fault, member.name);
        const end = this.invariants.standstills.begun(member.name, performance.now());
        member.pause();
        await pause(fault.lasts);
        member.resume();
        end(performance.now());
    }

    /** Half of the gateways, by the duration, are stopped as well. */
    private async standStill(fault: Fault, gateway: Member): Promise<void> {
        if (gateway.isAwake()) {
            const stop = fault.lasts % 2 === 0 ? () => this.restart(fault, gateway) : undefined;
            await standStill(gateway, this.deployment, this.callers, () => this.pauseFor(fault, gateway), stop);
        }
    }

    /** Stops a process by SIGTERM and starts it again. */
    private async restart(fault: Fault, member: Member): Promise<void> {
        if (!member.isAwake() || member.expectedDown) {
            return;
        }
        this.recordFault(fault, member.name);
        const { incarnation } = member;
        this.invariants.stops.signalled(member.name, performance.now());
        if (
            !await member.stop() && member.incarnation === incarnation
            && !this.invariants.isDisturbed(performance.now(), Infinity)
        ) {
            this.invariants.violate(
                "shutdown",
                `${member.name} didn't exit in time or exited with an error, ${member.exitDescription()}`,
            );
        }
        await pause(restartDelayMilliseconds);
        this.startAgain(member);
    }

    private mayLoseDisk(): boolean {
        const since = Math.max(this.diskLostAt ?? 0, this.directoriesHealthySince);
        return this.diskLostAt === undefined || performance.now() - since > catchUpMilliseconds;
    }

    private async restartWithEmptyDisk(fault: Fault, directory: Member): Promise<void> {
        if (!this.mayLoseDisk() || !directory.isRunning() || directory.expectedDown) {
            return;
        }
        this.diskLostAt = performance.now();
        await this.killFor(fault, [directory], fault.lasts, async () => {
            await directory.deleteData();
            await directory.writeSettings({ firstStart: false });
        });
        this.diskLostAt = performance.now();
    }

    /** Removes a directory permanently, and adds an empty one at another address. */
    private async replace(fault: Fault, directory: Member): Promise<void> {
        const { directories } = this.deployment;
        if (!this.mayLoseDisk() || !directory.isRunning() || directory.expectedDown) {
            return;
        }
        this.recordFault(fault, directory.name);
        this.diskLostAt = performance.now();
        directories.splice(directories.indexOf(directory), 1);
        this.deployment.replaced.push(directory);
        await directory.close();
        await pause(fault.lasts);
        const successor = await this.deployment.addDirectory(false);
        successor.start();
        this.diskLostAt = performance.now();
    }

    /** Blocks all traffic between the two groups of members, over existing and new connections. */
    private async cutFor(fault: Fault, group: readonly Member[], others: readonly Member[]): Promise<void> {
        this.recordFault(fault, group.map(({ name }) => name).join(" "));
        const pairs = group.flatMap(one => others.map(other => ({ one, other })));
        pairs.forEach(({ one, other }) => {
            one.relays.get("peers")?.stallFrom(other.bindHost);
            other.relays.get("peers")?.stallFrom(one.bindHost);
        });
        await pause(fault.lasts);
        pairs.forEach(({ one, other }) => {
            one.relays.get("peers")?.removeStallsFrom(other.bindHost);
            other.relays.get("peers")?.removeStallsFrom(one.bindHost);
        });
    }

    private async cutOneWayFor(fault: Fault, directory: Member): Promise<void> {
        this.recordFault(fault, directory.name);
        directory.relays.get("peers")?.stallAll("there");
        await pause(fault.lasts);
        directory.relays.get("peers")?.heal();
    }

    private split(fault: Fault): Promise<void> {
        const { directories } = this.deployment;
        const half = Math.ceil(directories.length / 2);
        return this.cutFor(fault, directories.slice(0, half), directories.slice(half));
    }

    private async slowFor(fault: Fault): Promise<void> {
        this.recordFault(fault, "all links between daemons");
        const relays = this.deployment.directories.map(directory => directory.relays.get("peers"));
        relays.forEach(relay => relay?.slow(linkDelayMilliseconds));
        await pause(fault.lasts);
        relays.forEach(relay => relay?.slow(0));
    }

    private resetConnections(fault: Fault, members: readonly Member[], relay: string): Promise<void> {
        this.recordFault(fault, "all connections");
        members.forEach(member => member.relays.get(relay)?.reset());
        return Promise.resolve();
    }

    private forEachBackend(fault: Fault, act: (backend: Backend) => void): Promise<void> {
        this.recordFault(fault, "all connections");
        this.deployment.backends.forEach(act);
        return Promise.resolve();
    }

    /** Changes the seed directories in all settings files; only every second process is sent SIGHUP to reload them. */
    private async changeSeeds(fault: Fault): Promise<void> {
        this.recordFault(fault, "all settings");
        const { directories } = this.deployment;
        const from = Math.floor(fault.pick * directories.length);
        const addresses = this.deployment.callAddresses();
        const seeds = [...addresses.slice(from), ...addresses.slice(0, from)].slice(0, 3);
        for (const [index, member] of this.deployment.members().entries()) {
            await member.writeSettings({ seeds });
            if (index % 2 === 0) {
                member.reload();
            }
        }
    }

    /** Crashes a backend server and starts another at a new address, which in about half of the cases keeps the name. */
    private async crashBackend(fault: Fault): Promise<void> {
        const backend = pickByFraction(this.deployment.backends, fault.pick);
        const keepsName = !backend.isDraining() && Math.floor(fault.lasts) % 2 === 0;
        this.recordFault(fault, backend.id);
        this.deployment.removeBackend(backend);
        await pause(fault.lasts);
        await this.deployment.addBackend(backend.service, backend.initialStage, keepsName ? backend.id : undefined);
    }

    /** Sends the same poison request repeatedly, to all gateways in turn; each backend server that starts to run it crashes. */
    private async sendPoisonRequests(fault: Fault): Promise<void> {
        const kind = fault.pick < 0.5 ? "once" : "unsafe";
        const body = poisonBody(`${fault.kind} at ${Math.round(fault.at)}`);
        this.recordFault(fault, `${kind} "${body}"`);
        const endsAt = performance.now() + fault.lasts + poisonExtraMilliseconds;
        const pendingRequests: Promise<unknown>[] = [];
        for (let count = 0; performance.now() < endsAt; count++) {
            const gateway = this.deployment.gateways[count % this.deployment.gateways.length]!;
            pendingRequests.push(this.callers.sendRequest(gateway, kind, `${routePrefixes[kind]}x`, body));
            await pause(poisonIntervalMilliseconds);
        }
        await Promise.all(pendingRequests);
    }

    /** Sends prompts with a poison part, no two alike, to all gateways in turn; each engine that starts to write on one crashes. */
    private async sendPoisonPrompts(fault: Fault): Promise<void> {
        const part = poisonPart(Math.round(fault.at));
        this.recordFault(fault, part);
        const endsAt = performance.now() + fault.lasts + poisonExtraMilliseconds;
        const pendingRequests: Promise<unknown>[] = [];
        for (let count = 0; performance.now() < endsAt; count++) {
            const kind = count % 2 === 0 ? "once" : "resumable";
            const gateway = this.deployment.gateways[count % this.deployment.gateways.length]!;
            const path = `${routePrefixes[kind]}x`;
            pendingRequests.push(this.callers.sendRequest(gateway, kind, path, `poison ${fault.at} ${count}`, part));
            await pause(poisonPromptIntervalMilliseconds);
        }
        await Promise.all(pendingRequests);
    }

    private async impairBackend(
        fault: Fault,
        impair: (backend: Backend) => unknown,
        repair: (backend: Backend) => unknown,
    ): Promise<void> {
        const backend = pickByFraction(this.deployment.backends, fault.pick);
        this.recordFault(fault, backend.id);
        impair(backend);
        await pause(fault.lasts);
        repair(backend);
    }

    /** Lets a backend server name a limit. */
    private async limitBackend(fault: Fault): Promise<void> {
        const backend = pickByFraction(this.deployment.backends, fault.pick);
        this.recordFault(fault, backend.id);
        const end = this.invariants.arrivals.limitNamed(backend.id, namedLimit, performance.now());
        backend.limit = namedLimit;
        await pause(fault.lasts);
        backend.limit = undefined;
        end(performance.now());
    }

    /** Partitions some gateways from all backend servers; at least one is left. */
    private async partitionGateways(fault: Fault): Promise<void> {
        const { gateways } = this.deployment;
        const kind = pickByFraction(partitionKinds, fault.pick);
        const relays = this.deployment.backends.map(({ relay }) => relay);
        const count = 1 + Math.floor(fault.pick * 97) % (gateways.length - 1);
        const partitioned = gateways.slice(0, count);
        this.recordFault(fault, `${kind} ${partitioned.map(({ name }) => name).join(" ")}`);
        const ends = partitioned.map(gateway => {
            gateway.partition(kind, relays);
            return this.invariants.partitioned(gateway.name, performance.now());
        });
        await pause(fault.lasts);
        partitioned.forEach(gateway => gateway.healPartition(relays));
        ends.forEach(end => end(performance.now()));
    }

    private startAgain(member: Member): void {
        this.invariants.arrivals.gatewayStarted(member.name, performance.now());
        member.start();
    }

    private others(directory: Member): readonly Member[] {
        return this.deployment.directories.filter(other => other !== directory);
    }

    private recordFault({ kind, at, lasts }: Fault, targetName: string): void {
        this.report(`${String(at).padStart(6)} ${kind} ${targetName} for ${lasts} ms`);
    }
}

function healRelay(backend: Backend): void {
    backend.relay.heal();
}

function restoreSpeed(backend: Backend): void {
    backend.slowdownFactor = 1;
}

function restoreHandles(backend: Backend): void {
    backend.expiresHandles = false;
}

function restoreResponses(backend: Backend): void {
    backend.dropsResponses = false;
}
