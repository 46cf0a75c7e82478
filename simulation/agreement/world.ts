import TinyQueue from "tinyqueue";
import { nameOf } from "../../packages/basilpaddle/src/node/coordination/agreement/entry.js";
import { nextTickAt } from "../../packages/basilpaddle/src/node/coordination/agreement/step.js";
import { SeededRandomness } from "../../packages/basilpaddle/src/node/utils/index.js";
import { assertInvariant, InvariantChecker } from "./checks.js";
import type { Fault } from "./fault.js";
import { Host, type Process } from "./host.js";

type ScheduledEvent = { readonly at: number; readonly order: number; readonly run: () => void; };

/** Simulated time after the last fault within which the group must recover. */
const recoveryLimitMilliseconds = 60_000;

/** Hosts, their network and their disks under one simulated clock. The same seed and faults give the same run. */
export class World {
    private readonly queue = new TinyQueue<ScheduledEvent>(
        [],
        (one, other) => one.at - other.at || one.order - other.order,
    );
    private readonly randomness;
    private readonly checks = InvariantChecker.create();
    private readonly hosts: Host[];
    private readonly cuts = new Map<string, number>();
    private readonly tickTimes = new Map<Process, number>();
    private degradedUntil = 0;
    private now = 0;
    private order = 0;
    private token = 0;
    private stepCount = 0;

    private constructor(seed: number, names: readonly string[]) {
        this.randomness = SeededRandomness.create(seed);
        this.hosts = names.map(name => {
            return Host.create(name, names, this.checks, this.randomness, {
                now: () => this.now,
                send: (from, to, message) => {
                    const identity = from.identity;
                    this.deliver(from.name, nameOf(to), () => ({ kind: "message", from: identity, message }), to);
                },
                onWriteRequested: (host, process) => this.scheduleDiskWrite(host, process),
            });
        });
    }

    static create(seed: number, size: number): World {
        return new World(seed, ["a", "b", "c", "d", "e"].slice(0, size));
    }

    /** Injects the faults, heals them all, and checks that the group recovers. Returns the number of handled events. */
    run(faults: readonly Fault[]): number {
        this.hosts.forEach(host => this.start(host));
        this.propose();
        let at = 3_000;
        for (const fault of faults) {
            at += fault.after;
            this.at(at, () => this.inject(fault));
        }
        this.runUntil(at + 4_000, () => false);
        this.healAllFaults();
        const end = this.now + recoveryLimitMilliseconds;
        this.runUntil(end, () => this.isRecovered());
        assertInvariant(
            this.isRecovered(),
            `the group hasn't recovered ${recoveryLimitMilliseconds} ms after the last fault: ${this.describe()}`,
        );
        return this.stepCount;
    }

    private runUntil(end: number, done: () => boolean): void {
        for (let eventCount = 0; this.queue.length > 0 && this.queue.peek()!.at <= end; eventCount += 1) {
            const next = this.queue.pop()!;
            this.now = next.at;
            next.run();
            if (eventCount % 50 === 0 && done()) {
                return;
            }
        }
    }

    private at(time: number, run: () => void): void {
        this.order += 1;
        this.queue.push({ at: Math.max(time, this.now), order: this.order, run });
    }

    private start(host: Host): void {
        if (host.process === undefined) {
            host.start();
            this.scheduleTick(host, host.process!);
        }
    }

    /** Passes an event to a process, delayed while its host is frozen; drops it if the process has ended. */
    private handle(host: Host, process: Process, makeEvent: () => Parameters<Host["handle"]>[0]): void {
        if (host.process !== process) {
            return;
        }
        if (this.now < host.frozenUntil) {
            this.at(host.frozenUntil, () => this.handle(host, process, makeEvent));
            return;
        }
        this.stepCount += 1;
        host.handle(makeEvent());
        this.scheduleTick(host, process);
    }

    private scheduleTick(host: Host, process: Process): void {
        const dueAt = Math.max(host.simulatedTime(nextTickAt(process.state)), this.now + 1);
        if (dueAt >= (this.tickTimes.get(process) ?? Number.POSITIVE_INFINITY)) {
            return;
        }
        this.tickTimes.set(process, dueAt);
        this.at(dueAt, () => {
            if (this.tickTimes.get(process) === dueAt) {
                this.tickTimes.delete(process);
                this.handle(host, process, () => ({ kind: "tick" }));
            }
        });
    }

    private deliver(from: string, to: string, makeEvent: () => Parameters<Host["handle"]>[0], receiver: string): void {
        const isDegraded = this.now < this.degradedUntil;
        if ((this.cuts.get(`${from}>${to}`) ?? 0) > this.now || (isDegraded && this.randomness.fraction() < 0.1)) {
            return;
        }
        const copies = this.randomness.fraction() < (isDegraded ? 0.2 : 0.01) ? 2 : 1;
        for (let copy = 0; copy < copies; copy += 1) {
            const delay = 1 + this.randomness.fraction() * (isDegraded ? 400 : 4);
            this.at(this.now + delay, () => {
                const host = this.hosts.find(other => other.name === to)!;
                const isAddressed = receiver === host.identity || receiver === host.name;
                if (host.process !== undefined && isAddressed) {
                    this.handle(host, host.process, makeEvent);
                }
            });
        }
    }

    private scheduleDiskWrite(host: Host, process: Process): void {
        const maxWriteMilliseconds = this.now < host.slowDiskUntil ? 300 : 2;
        host.diskIdleAt = Math.max(host.diskIdleAt, this.now) + 0.1 + this.randomness.fraction() * maxWriteMilliseconds;
        this.at(host.diskIdleAt, () => {
            if (host.process === process) {
                const { write } = host.completeWrite();
                this.handle(host, process, () => ({ kind: "synced", write }));
            }
        });
    }

    /** Proposes at random intervals to every host that believes it leads, and sometimes asks it to confirm its leadership. */
    private propose(): void {
        const leaders = this.hosts.filter(host => host.process?.state.leadership !== undefined);
        for (const host of leaders) {
            const process = host.process!;
            const token = this.nextToken();
            const data = Buffer.from(`command ${token}`);
            const kind = this.randomness.fraction() < 0.3 ? "viewCommand" : "command";
            this.handle(host, process, () => ({ kind: "propose", proposals: [{ token, kind, data }] }));
            if (this.randomness.fraction() < 0.3) {
                this.requestConfirmation(host, process);
            }
        }
        this.at(this.now + 5 + this.randomness.fraction() * 80, () => this.propose());
    }

    private requestConfirmation(host: Host, process: Process): void {
        this.handle(host, process, () => {
            const confirmToken = this.nextToken();
            process.confirmations.set(confirmToken, { term: process.state.term, askedAt: this.now });
            return { kind: "confirm", token: confirmToken };
        });
    }

    private nextToken(): number {
        this.token += 1;
        return this.token;
    }

    private inject(fault: Fault): void {
        const host = this.hosts[fault.host % this.hosts.length]!;
        const until = this.now + fault.lasting;
        switch (fault.kind) {
            case "kill":
                host.kill();
                this.at(until, () => this.start(host));
                return;
            case "loseDisk":
                if (this.canTolerateDiskLoss(host)) {
                    host.loseDisk();
                    this.at(until, () => this.start(host));
                }
                return;
            case "reattachDisk":
                if (host.detachedDisk !== undefined && this.canTolerateDiskLoss(host)) {
                    host.reattachDisk();
                    this.at(until, () => this.start(host));
                }
                return;
            case "cut":
                this.cut(host.name, this.hosts[fault.other % this.hosts.length]!.name, until);
                return;
            case "isolate":
                for (const other of this.hosts) {
                    this.cut(host.name, other.name, until);
                    this.cut(other.name, host.name, until);
                }
                return;
            case "freeze":
                host.frozenUntil = Math.max(host.frozenUntil, until);
                return;
            case "degradedNetwork":
                this.degradedUntil = Math.max(this.degradedUntil, until);
                return;
            case "slowDisk":
                host.slowDiskUntil = Math.max(host.slowDiskUntil, until);
                return;
            case "handOver":
                if (host.process !== undefined) {
                    this.handOver(host, host.process);
                }
                return;
        }
    }

    /** Hands over leadership. Only then may two replicas believe that they lead, so the old leader is asked repeatedly to confirm. */
    private handOver(host: Host, process: Process): void {
        this.handle(host, process, () => ({ kind: "handOver" }));
        for (let after = 1; after <= 20; after += 1) {
            this.at(this.now + after, () => this.requestConfirmation(host, process));
        }
    }

    private cut(from: string, to: string, until: number): void {
        const direction = `${from}>${to}`;
        this.cuts.set(direction, Math.max(this.cuts.get(direction) ?? 0, until));
    }

    /**
     * Whether the group tolerates the loss of a disk: in the membership that each replica uses, a quorum must keep its disks.
     * Beyond that, committed entries can be lost with any protocol.
     */
    private canTolerateDiskLoss(host: Host): boolean {
        const remainingIdentities = this.hosts.filter(other => other !== host).map(other => other.identity);
        return this.hosts.every(other => {
            const voters = this.votersOf(other);
            const tolerableLosses = voters.length - (Math.floor(voters.length / 2) + 1);
            return voters.filter(voter => !remainingIdentities.includes(voter)).length <= tolerableLosses;
        });
    }

    private votersOf(host: Host): readonly string[] {
        if (host.process !== undefined) {
            return host.process.state.log.membership.voters;
        }
        host.start();
        const { voters } = host.process!.state.log.membership;
        host.process = undefined;
        return voters;
    }

    private healAllFaults(): void {
        this.cuts.clear();
        this.degradedUntil = 0;
        this.hosts.forEach(host => {
            host.frozenUntil = 0;
            host.slowDiskUntil = 0;
            this.start(host);
        });
    }

    private isRecovered(): boolean {
        const identities = this.hosts.map(host => host.identity);
        const hasLeader = this.hosts.some(host => host.process?.state.leadership !== undefined);
        return hasLeader && this.hosts.every(host => {
            const { state, applied } = host.process!;
            const voters = state.log.membership.voters;
            const hasAllVoters = voters.length === identities.length && identities.every(each => voters.includes(each));
            return hasAllVoters && applied >= this.checks.highestApplied - maxLagEntries;
        });
    }

    private describe(): string {
        return this.hosts.map(({ identity, process }) => {
            const { role, term, log, committed } = process!.state;
            return `${identity} ${role} term ${term} last ${log.lastIndex} committed ${committed} voters ${
                log.membership.voters.join("+")
            }`;
        }).join("; ");
    }
}

/** Entries that an up-to-date replica may lag behind while commands continue to arrive. */
const maxLagEntries = 3;
