import {
    type CallOutcome,
    LoadAdmission,
    ServerChoice,
    ServiceAdmission,
} from "../../packages/basilpaddle/src/node/coordination/index.js";
import type { ServerAnnouncement } from "../../packages/basilpaddle/src/node/protocol/index.js";
import { type Randomness, SeededRandomness } from "../../packages/basilpaddle/src/node/utils/index.js";
import { EventQueue } from "../eventQueue.js";
import type { ServiceDay } from "./day.js";

/** Admits every request: servers' queues fill before any is refused. */
class OpenAdmission extends ServiceAdmission {
    static create(): OpenAdmission {
        return new OpenAdmission();
    }

    override refusal(): undefined {
        return undefined;
    }

    override recordFull(): void {}

    override recordAnswer(): void {}
}

/** The implementations that are compared, by name; `load` is the product's. */
export const admissions = { open: OpenAdmission, load: LoadAdmission } as const;
/** Name of an implementation. */
export type AdmissionName = keyof typeof admissions;

/** Fractions of all requests, and of those that arrived in the burst. */
export type ServiceOutcome = {
    readonly inTime: number;
    readonly late: number;
    readonly refused: number;
    readonly inTimeInBurst: number;
};

const serviceName = "service";
const failureDomains = ["a", "b", "c"];
const oneWayMilliseconds = 1.4;
const callerOneWayMilliseconds = 3;
/** Rounds and Retry-After of the gateway's own exchange. */
const maxRounds = 4;
const fullRetryAfterMilliseconds = 120;
const millisecondsInSecond = 1_000;

type Server = {
    readonly announced: ServerAnnouncement;
    readonly speed: number;
    running: number;
    readonly queue: (() => void)[];
};
type Gateway = { readonly choice: ServerChoice; readonly admission: ServiceAdmission; };
type Request = { readonly firstAt: number; readonly attempt: string; readonly isRetry: boolean; };

/** Plays a day with the product's own choice of servers. Deterministic for a day, implementation and seed. */
export function simulateService(day: ServiceDay, admission: AdmissionName, seed: number): ServiceOutcome {
    return new ServiceSimulation(day, admission, seed).run();
}

class ServiceSimulation {
    private readonly events = EventQueue.create();
    private readonly random: Randomness;
    private readonly servers: readonly Server[];
    private readonly gateways: readonly Gateway[];
    private readonly ends: { readonly firstAt: number; readonly end: "inTime" | "late" | "refused"; }[] = [];
    private createdRequests = 0;

    constructor(private readonly day: ServiceDay, admission: AdmissionName, private readonly seed: number) {
        this.random = SeededRandomness.create(seed);
        this.servers = day.servers.map((speed, number) => ({
            announced: {
                id: `server-${number}`,
                service: serviceName,
                address: "",
                failureDomain: domainOf(number),
                slots: day.slots,
                state: "ready",
                sequence: 1,
            },
            speed,
            running: 0,
            queue: [],
        }));
        this.gateways = Array.from({ length: day.gateways }, (_, number) => ({
            choice: ServerChoice.create(domainOf(number)),
            admission: admissions[admission].create(),
        }));
    }

    run(): ServiceOutcome {
        this.scheduleArrival();
        this.events.runToEnd();
        const { from, until } = this.day.burst;
        const inBurst = this.ends.filter(({ firstAt }) => firstAt >= from && firstAt < until);
        return {
            inTime: fractionOf(this.ends, "inTime"),
            late: fractionOf(this.ends, "late"),
            refused: fractionOf(this.ends, "refused"),
            inTimeInBurst: fractionOf(inBurst, "inTime"),
        };
    }

    private scheduleArrival(): void {
        const { burst, rate, length } = this.day;
        const now = this.events.now();
        const factor = now >= burst.from && now < burst.until ? burst.factor : 1;
        const interval = -Math.log(1 - this.random.fraction()) * millisecondsInSecond / (rate * factor);
        this.events.after(interval, () => {
            const firstAt = this.events.now();
            if (firstAt < length) {
                this.createdRequests += 1;
                this.receive({ firstAt, attempt: `${this.seed}-${this.createdRequests}`, isRetry: false });
                this.scheduleArrival();
            }
        });
    }

    /** A gateway receives an attempt; retries reach any gateway. */
    private receive(request: Request): void {
        const gateway = this.gateways[this.random.integer(0, this.gateways.length - 1)]!;
        this.events.after(callerOneWayMilliseconds, () => {
            const comeBackIn = gateway.admission.refusal(serviceName, request.attempt, this.events.now());
            if (comeBackIn === undefined) {
                this.call(gateway, request, new Set());
            }
            else {
                this.refuse(request, comeBackIn);
            }
        });
    }

    private call(gateway: Gateway, request: Request, tried: ReadonlySet<string>): void {
        const startedAt = this.events.now();
        const announced = this.servers.map(server => server.announced);
        const server = tried.size < maxRounds ? gateway.choice.choose(announced, tried, startedAt) : undefined;
        if (server === undefined) {
            gateway.admission.recordFull(serviceName, startedAt);
            this.refuse(request, fullRetryAfterMilliseconds);
            return;
        }
        gateway.choice.recordStart(server.id);
        this.events.after(oneWayMilliseconds, () => {
            this.runAt(server, outcome => {
                this.events.after(oneWayMilliseconds, () => {
                    this.recordOutcome(gateway, server, outcome, startedAt);
                    if (outcome === "answered") {
                        this.answer(request);
                    }
                    else {
                        this.call(gateway, request, new Set([...tried, server.id]));
                    }
                });
            });
        });
    }

    private recordOutcome(gateway: Gateway, server: ServerAnnouncement, outcome: CallOutcome, startedAt: number): void {
        const now = this.events.now();
        gateway.choice.recordOutcome(server, outcome, now - startedAt, now);
        if (outcome === "answered") {
            gateway.admission.recordAnswer(serviceName, now - startedAt, this.day.target, now);
        }
    }

    private runAt(announced: ServerAnnouncement, end: (outcome: CallOutcome) => void): void {
        const server = this.servers.find(other => other.announced === announced)!;
        const begin = (): void => {
            server.running += 1;
            this.events.after(this.workAt(server), () => {
                server.running -= 1;
                end("answered");
                server.queue.shift()?.();
            });
        };
        if (server.running < this.day.slots) {
            begin();
        }
        else if (server.queue.length < this.day.queue) {
            server.queue.push(begin);
        }
        else {
            end("rejected");
        }
    }

    private workAt(server: Server): number {
        const { work, workSpread, slowServer } = this.day;
        const now = this.events.now();
        const isSlow = slowServer !== undefined && server === this.servers[0]
            && now >= slowServer.from && now < slowServer.until;
        const normal = Math.sqrt(-2 * Math.log(1 - this.random.fraction()))
            * Math.cos(2 * Math.PI * this.random.fraction());
        const factor = server.speed * (isSlow ? slowServer.factor : 1);
        return work * factor * Math.exp(workSpread * normal - workSpread ** 2 / 2);
    }

    /** Refuses an attempt; its caller comes back once. */
    private refuse(request: Request, comeBackIn: number): void {
        const { firstAt, attempt, isRetry } = request;
        if (isRetry) {
            this.ends.push({ firstAt, end: "refused" });
            return;
        }
        this.events.after(callerOneWayMilliseconds + comeBackIn, () => {
            this.receive({ firstAt, attempt: `${attempt}-again`, isRetry: true });
        });
    }

    private answer({ firstAt }: Request): void {
        const duration = this.events.now() + callerOneWayMilliseconds - firstAt;
        this.ends.push({ firstAt, end: duration <= this.day.target ? "inTime" : "late" });
    }
}

function domainOf(number: number): string {
    return failureDomains[number % failureDomains.length]!;
}

function fractionOf(ends: readonly { readonly end: string; }[], end: string): number {
    return ends.filter(other => other.end === end).length / ends.length;
}
