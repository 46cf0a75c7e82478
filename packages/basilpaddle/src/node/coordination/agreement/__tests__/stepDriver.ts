import { SeededRandomness } from "../../../utils/index.js";
import type { AgreementEvent, Effect, LogRecord } from "../effect.js";
import { EntryLog } from "../entryLog.js";
import type { Message } from "../message.js";
import { AgreementState, type Recovered } from "../state.js";
import { step } from "../step.js";
import { recover } from "../storage.js";

const electionTimeout = 600;
/** Long enough to show the interval between two changes of the voters. */
export const viewLease = 1_000;
/** Milliseconds after a start in which a replica takes no part in the protocol. */
export const silence = 2 * electionTimeout;

type Sent = { readonly from: string; readonly to: string; readonly message: Message; };

/** Calls `step` of several replicas under the control of a test: time, messages and syncs advance only on request. */
export class StepDriver {
    now = 0;
    readonly states = new Map<string, AgreementState>();
    /** Everything written, by identity, whether or not it was synced. */
    readonly disks = new Map<string, LogRecord[]>();
    readonly effects: { readonly identity: string; readonly effect: Effect; }[] = [];
    sent: Sent[] = [];
    /** Identities whose messages are lost, in both directions. */
    readonly disconnected = new Set<string>();
    /** Identities whose writes aren't synced. */
    readonly stalledDisks = new Set<string>();

    private constructor(readonly voters: readonly string[]) {}

    static create(voters: readonly string[]): StepDriver {
        const driver = new StepDriver(voters);
        voters.forEach(identity => {
            const base = { index: 0, term: 0, membership: { voters: [...voters], learners: [] }, view: 0 };
            driver.disks.set(identity, [{ kind: "base", owner: identity, base }]);
            driver.start(identity);
        });
        return driver;
    }

    /** Starts a replica from its written records. */
    start(identity: string): void {
        const records = this.disks.get(identity)!.map((record, offset) => ({ offset, record }));
        this.startRecovered(identity, recover(records, undefined, identity));
    }

    /** Starts a replica that isn't a member of the group. */
    startEmpty(identity: string): void {
        const base = { index: 0, term: 0, membership: { voters: [], learners: [] }, view: 0 };
        this.disks.set(identity, [{ kind: "base", owner: identity, base }]);
        this.start(identity);
    }

    /** Lets the election timer of a replica expire, and delivers messages until none is left. */
    elect(identity: string): void {
        this.states.get(identity)!.electionAt = this.now;
        this.handle(identity, { kind: "tick" });
        this.settle();
    }

    /** Advances the time, and ticks the given replicas, or all. */
    advance(milliseconds: number, identities: Iterable<string> = this.states.keys()): void {
        this.now += milliseconds;
        [...identities].forEach(identity => this.handle(identity, { kind: "tick" }));
    }

    propose(identity: string, text: string): void {
        const proposals = [{ token: 1, kind: "viewCommand" as const, data: Buffer.from(text) }];
        this.handle(identity, { kind: "propose", proposals });
    }

    handle(identity: string, event: AgreementEvent): void {
        for (const effect of step(this.states.get(identity)!, event, this.now)) {
            this.effects.push({ identity, effect });
            if (effect.kind === "send") {
                this.sent.push({ from: identity, to: effect.to, message: effect.message });
            }
            else if (effect.kind === "write") {
                this.disks.get(identity)!.push(...effect.records);
                if (!this.stalledDisks.has(identity)) {
                    this.handle(identity, { kind: "synced", write: effect.write });
                }
            }
        }
    }

    /** Delivers messages until none is left. */
    settle(): void {
        for (let next = this.sent.shift(); next !== undefined; next = this.sent.shift()) {
            const { from, to, message } = next;
            if (this.states.has(to) && !this.disconnected.has(from) && !this.disconnected.has(to)) {
                this.handle(to, { kind: "message", from, message });
            }
        }
    }

    isLeading(identity: string): boolean {
        return this.states.get(identity)!.leadership !== undefined;
    }

    private startRecovered(identity: string, recovered: Recovered): void {
        const options = {
            identity,
            peers: () => this.voters.filter(other => other !== identity).map(other => other.split("#")[0]!),
            timing: { heartbeatInterval: 100, electionTimeout, viewLease, clockDrift: 0 },
            randomness: SeededRandomness.create(1),
        };
        this.states.set(identity, AgreementState.create(options, recovered, this.now));
    }
}

/** A log with entries of the given terms. */
export function logOfTerms(terms: readonly number[]): EntryLog {
    const log = EntryLog.create({ index: 0, term: 0, membership: { voters: [], learners: [] }, view: 0 });
    terms.forEach((term, position) =>
        log.append({ index: position + 1, term, kind: "viewCommand", data: Buffer.alloc(0) })
    );
    return log;
}
