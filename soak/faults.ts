import { pause } from "../playground/harness/index.js";
import type { Backend } from "./backend.js";
import { type Callers, routePrefixes } from "./callers.js";
import type { SoakDeployment } from "./deployment.js";
import type { Invariants } from "./invariants.js";
import type { Member } from "./member.js";
import type { Operator } from "./operator.js";
import { type Fault, type FaultKind, plannedKinds } from "./plan.js";
import { deadlyBody } from "./texts.js";

/** Longest time in milliseconds that all directories are down at once. */
const longestOutage = 2_000;
/** Milliseconds that a directory with an empty disk has to take over what the others hold, before a disk may be lost again. */
const catchUp = 7_000;
/** How many times longer a slow backend server takes. */
const slowness = 6;
/** Milliseconds that slow links hold bytes back. */
const linkDelay = 120;
/** Milliseconds between two arrivals of a deadly request, and for which it comes beyond a fault's length: past the third crash. */
const deadlyInterval = 250;
const deadlyTime = 6_000;
/** Milliseconds after a stop before the process is started again. */
const restartAfter = 300;

/** Carries faults out, each at its time and beside the others, and puts everything right again. */
export class FaultRunner {
    /** When the last disk was lost, and when a directory was last unwell since then. */
    private diskLostAt: number | undefined;
    private directoriesWellSince = 0;
    private readonly running = new Set<Promise<void>>();

    private constructor(
        private readonly deployment: SoakDeployment,
        private readonly operator: Operator,
        private readonly invariants: Invariants,
        private readonly callers: Callers,
        private readonly report: (line: string) => void,
    ) {}

    static create(
        deployment: SoakDeployment,
        operator: Operator,
        invariants: Invariants,
        callers: Callers,
        report: (line: string) => void,
    ): FaultRunner {
        return new FaultRunner(deployment, operator, invariants, callers, report);
    }

    /** Begins each fault at its time; settles when all of them are over. */
    async play(faults: readonly Fault[]): Promise<void> {
        const start = performance.now();
        for (const fault of faults) {
            await pause(Math.max(0, start + fault.at - performance.now()));
            const done = this.one(fault).finally(() => this.running.delete(done));
            this.running.add(done);
        }
        await Promise.all(this.running);
    }

    private async one(fault: Fault): Promise<void> {
        const { kind } = fault;
        const end = plannedKinds.has(kind) ? undefined : this.invariants.disturb(kind, performance.now());
        try {
            await this.act(fault);
        }
        finally {
            const now = performance.now();
            end?.(now);
            if (kind.includes("irector") || kind === "killAll" || kind === "slowLinks" || kind === "resetPeers") {
                this.directoriesWellSince = now;
            }
        }
    }

    private act(fault: Fault): Promise<void> {
        const { deployment, operator } = this;
        const { lasts, pick } = fault;
        const gateway = pickOf(deployment.gateways, pick);
        const directory = pickOf(deployment.directories, pick);
        const acts: Readonly<Record<FaultKind, () => Promise<void>>> = {
            killGateway: () => this.killFor(fault, [gateway], lasts),
            pauseGateway: () => this.pauseFor(fault, gateway),
            stopGateway: () => this.restart(fault, gateway),
            killDirectory: () => this.killFor(fault, [directory], lasts),
            pauseDirectory: () => this.pauseFor(fault, directory),
            stopDirectory: () => this.restart(fault, directory),
            wipeDirectory: () => this.loseDisk(fault, directory),
            tearLog: () => this.killFor(fault, [directory], lasts, () => directory.tear()),
            replaceDirectory: () => this.replace(fault, directory),
            killDirectories: () => this.killFor(fault, deployment.directories, Math.min(lasts, longestOutage)),
            killAll: () => this.killFor(fault, deployment.members(), Math.min(lasts, longestOutage)),
            cutDirectory: () => this.cutFor(fault, [directory], this.others(directory)),
            cutDirectoryOneWay: () => this.cutOneWayFor(fault, directory),
            cutGateway: () => this.cutFor(fault, [gateway], deployment.directories),
            splitDirectories: () => this.split(fault),
            slowLinks: () => this.slowFor(fault),
            resetCallers: () => this.reset(fault, deployment.gateways, "callers"),
            resetPeers: () => this.reset(fault, deployment.directories, "peers"),
            resetBackends: () => this.each(fault, backend => backend.relay.reset()),
            changeSeeds: () => this.changeSeeds(fault),
            crashBackend: () => this.crashBackend(fault),
            deadlyRequests: () => this.sendDeadly(fault),
            darkenBackend: () => this.impairBackend(fault, backend => backend.relay.silence(), healed),
            slowBackend: () => this.impairBackend(fault, backend => (backend.slowness = slowness), unslowed),
            drainBackend: () => this.drainBackend(fault),
            lapseHandles: () => this.impairBackend(fault, backend => (backend.lapses = true), unlapsed),
            loseAnswers: () => this.impairBackend(fault, backend => (backend.losesAnswers = true), unlost),
            changeConfiguration: () => operator.change(),
            raceConfigurations: () => operator.race(),
            invalidConfiguration: () => operator.sendInvalid(),
        };
        return acts[fault.kind]();
    }

    private async killFor(
        fault: Fault,
        members: readonly Member[],
        lasts: number,
        whileDown: () => Promise<void> = () => Promise.resolve(),
    ): Promise<void> {
        const hit = members.filter(member => member.isRunning() && !member.expectedDown);
        this.note(fault, hit.map(({ name }) => name).join(" "));
        await Promise.all(hit.map(member => member.kill()));
        if (hit.length > 0) {
            await whileDown();
        }
        await pause(lasts);
        hit.forEach(member => member.start());
    }

    private async pauseFor(fault: Fault, member: Member): Promise<void> {
        if (!member.isAwake()) {
            return;
        }
        this.note(fault, member.name);
        member.pause();
        await pause(fault.lasts);
        member.resume();
    }

    /** SIGTERM, then a new start. */
    private async restart(fault: Fault, member: Member): Promise<void> {
        if (!member.isAwake() || member.expectedDown) {
            return;
        }
        this.note(fault, member.name);
        const { life } = member;
        if (!await member.stop() && member.life === life && !this.invariants.isDisturbed(performance.now(), Infinity)) {
            this.invariants.violate(
                "shutdown",
                `${member.name} didn't end in time, or not well, ${member.lastWords()}`,
            );
        }
        await pause(restartAfter);
        member.start();
    }

    private mayLoseDisk(): boolean {
        const since = Math.max(this.diskLostAt ?? 0, this.directoriesWellSince);
        return this.diskLostAt === undefined || performance.now() - since > catchUp;
    }

    private async loseDisk(fault: Fault, directory: Member): Promise<void> {
        if (!this.mayLoseDisk() || !directory.isRunning() || directory.expectedDown) {
            return;
        }
        this.diskLostAt = performance.now();
        await this.killFor(fault, [directory], fault.lasts, async () => {
            await directory.wipe();
            await directory.write({ firstStart: false });
        });
        this.diskLostAt = performance.now();
    }

    /** A directory goes for good, and an empty one comes at another address. */
    private async replace(fault: Fault, directory: Member): Promise<void> {
        const { directories } = this.deployment;
        if (!this.mayLoseDisk() || !directory.isRunning() || directory.expectedDown) {
            return;
        }
        this.note(fault, directory.name);
        this.diskLostAt = performance.now();
        directories.splice(directories.indexOf(directory), 1);
        this.deployment.replaced.push(directory);
        await directory.close();
        await pause(fault.lasts);
        const successor = await this.deployment.addDirectory(false);
        successor.start();
        this.diskLostAt = performance.now();
    }

    /** Nothing goes between any of the ones and any of the others, over old connections and new ones. */
    private async cutFor(fault: Fault, ones: readonly Member[], others: readonly Member[]): Promise<void> {
        this.note(fault, ones.map(({ name }) => name).join(" "));
        const pairs = ones.flatMap(one => others.map(other => ({ one, other })));
        pairs.forEach(({ one, other }) => {
            one.relays.get("peers")?.silenceFrom(other.bindHost);
            other.relays.get("peers")?.silenceFrom(one.bindHost);
        });
        await pause(fault.lasts);
        pairs.forEach(({ one, other }) => {
            one.relays.get("peers")?.healFrom(other.bindHost);
            other.relays.get("peers")?.healFrom(one.bindHost);
        });
    }

    private async cutOneWayFor(fault: Fault, directory: Member): Promise<void> {
        this.note(fault, directory.name);
        directory.relays.get("peers")?.silence("there");
        await pause(fault.lasts);
        directory.relays.get("peers")?.heal();
    }

    private split(fault: Fault): Promise<void> {
        const { directories } = this.deployment;
        const half = Math.ceil(directories.length / 2);
        return this.cutFor(fault, directories.slice(0, half), directories.slice(half));
    }

    private async slowFor(fault: Fault): Promise<void> {
        this.note(fault, "all links between daemons");
        const relays = this.deployment.directories.map(directory => directory.relays.get("peers"));
        relays.forEach(relay => relay?.slow(linkDelay));
        await pause(fault.lasts);
        relays.forEach(relay => relay?.slow(0));
    }

    private reset(fault: Fault, members: readonly Member[], relay: string): Promise<void> {
        this.note(fault, "all connections");
        members.forEach(member => member.relays.get(relay)?.reset());
        return Promise.resolve();
    }

    private each(fault: Fault, act: (backend: Backend) => void): Promise<void> {
        this.note(fault, "all connections");
        this.deployment.backends.forEach(act);
        return Promise.resolve();
    }

    /** The settings name other directories; every second process is told so. */
    private async changeSeeds(fault: Fault): Promise<void> {
        this.note(fault, "all settings");
        const { directories } = this.deployment;
        const from = Math.floor(fault.pick * directories.length);
        const addresses = this.deployment.callAddresses();
        const seeds = [...addresses.slice(from), ...addresses.slice(0, from)].slice(0, 3);
        for (const [index, member] of this.deployment.members().entries()) {
            await member.write({ seeds });
            if (index % 2 === 0) {
                member.reload();
            }
        }
    }

    /** A backend server ends at once, and another incarnation comes elsewhere: each second one under the same name. */
    private async crashBackend(fault: Fault): Promise<void> {
        const backend = pickOf(this.deployment.backends, fault.pick);
        const keepsName = !backend.isLeaving() && Math.floor(fault.lasts) % 2 === 0;
        this.note(fault, backend.id);
        this.deployment.removeBackend(backend);
        await pause(fault.lasts);
        await this.deployment.addBackend(backend.service, backend.firstStage, keepsName ? backend.id : undefined);
    }

    /** The same request comes again and again, at any gateway; each backend server that begins to run it ends. */
    private async sendDeadly(fault: Fault): Promise<void> {
        const kind = fault.pick < 0.5 ? "once" : "unsafe";
        const body = deadlyBody(`${fault.kind} at ${Math.round(fault.at)}`);
        this.note(fault, `${kind} "${body}"`);
        const until = performance.now() + fault.lasts + deadlyTime;
        const sent: Promise<unknown>[] = [];
        for (let count = 0; performance.now() < until; count++) {
            const gateway = this.deployment.gateways[count % this.deployment.gateways.length]!;
            sent.push(this.callers.ask(gateway, kind, `${routePrefixes[kind]}x`, body));
            await pause(deadlyInterval);
        }
        await Promise.all(sent);
    }

    private async impairBackend(
        fault: Fault,
        impair: (backend: Backend) => unknown,
        repair: (backend: Backend) => unknown,
    ): Promise<void> {
        const backend = pickOf(this.deployment.backends, fault.pick);
        this.note(fault, backend.id);
        impair(backend);
        await pause(fault.lasts);
        repair(backend);
    }

    /** A new backend server comes, and the old one says that it leaves. */
    private async drainBackend(fault: Fault): Promise<void> {
        const backend = pickOf(this.deployment.backends.filter(one => !one.isLeaving()), fault.pick);
        this.note(fault, backend.id);
        await this.deployment.addBackend(backend.service, backend.firstStage);
        await backend.drain();
        this.deployment.removeBackend(backend);
    }

    private others(directory: Member): readonly Member[] {
        return this.deployment.directories.filter(other => other !== directory);
    }

    private note({ kind, at, lasts }: Fault, whom: string): void {
        this.report(`${String(at).padStart(6)} ${kind} ${whom} for ${lasts} ms`);
    }
}

function healed(backend: Backend): void {
    backend.relay.heal();
}

function unslowed(backend: Backend): void {
    backend.slowness = 1;
}

function unlapsed(backend: Backend): void {
    backend.lapses = false;
}

function unlost(backend: Backend): void {
    backend.losesAnswers = false;
}

function pickOf<T>(all: readonly T[], fraction: number): T {
    return all[Math.min(all.length - 1, Math.floor(fraction * all.length))]!;
}
