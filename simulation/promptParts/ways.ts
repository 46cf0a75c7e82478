import { QuarantinedRequests } from "../../packages/basilpaddle/src/node/coordination/quarantine/quarantinedRequests.js";
import {
    type CrashPhase,
    type CrashRecord,
    quarantineRulesSchema,
} from "../../packages/basilpaddle/src/node/protocol/index.js";
import { type Clock, createSilentLogger } from "../../packages/basilpaddle/src/node/utils/index.js";

/** Milliseconds of one message, with the time for which a daemon collects what it sends. */
const messageMilliseconds = 15;

/** One request as its gateway sees it; the parts are those that others may share. */
export type PartRequest = { readonly attempt: string; readonly digest: string; readonly parts: readonly string[]; };

/** What a crash of a server under a request shows. */
export type PartCrash = { readonly server: string; readonly phase: CrashPhase; readonly hadBegun: boolean; };

/** A way to tell, at each gateway, which requests may be sent. */
export abstract class Way {
    /** Messages that gateways sent to a directory and that a directory sent to them. */
    messages = 0;

    protected constructor(protected readonly clock: Clock, protected readonly gateways: number) {}

    abstract mayRun(gateway: number, request: PartRequest): boolean;
    abstract recordCrash(gateway: number, request: PartRequest, crash: PartCrash): void;
    abstract recordBegun(gateway: number, request: PartRequest): void;

    /** Parts that any gateway quarantines now. */
    abstract quarantined(): readonly string[];

    /** Calls `deliver` for each gateway, as if a directory had passed something on. */
    protected broadcast(deliver: (gateway: number) => void): void {
        this.messages += 1 + this.gateways;
        this.clock.after(2 * messageMilliseconds, () => {
            for (let gateway = 0; gateway < this.gateways; gateway++) {
                deliver(gateway);
            }
        });
    }
}

/** The product's: a sequential test of crashes and begun answers, of which gateways tell each other once a part is suspected. */
export class SequentialWay extends Way {
    private readonly directory: QuarantinedRequests;
    private readonly copies: readonly QuarantinedRequests[];
    private sentChange = 0;

    private constructor(clock: Clock, gateways: number, private readonly knowsParts: boolean) {
        super(clock, gateways);
        this.directory = this.createCopy(() => undefined);
        this.copies = Array.from({ length: gateways }, () => this.createCopy(records => this.report(records)));
    }

    /** `knowsParts`: whether parts are suspects; otherwise only whole requests are. */
    static create(clock: Clock, gateways: number, knowsParts: boolean): SequentialWay {
        return new SequentialWay(clock, gateways, knowsParts);
    }

    override mayRun(gateway: number, { digest, parts }: PartRequest): boolean {
        return [digest, ...parts].every(suspect => this.copies[gateway]!.quarantineStatus(suspect) === undefined);
    }

    override recordCrash(gateway: number, request: PartRequest, { server, phase, hadBegun }: PartCrash): void {
        const copy = this.copies[gateway]!;
        copy.addCrash(request.digest, { server, phase, age: 0 });
        if (!hadBegun && this.knowsParts) {
            copy.addPartCrash(request.parts, { server, phase, age: 0, request: request.digest });
        }
    }

    override recordBegun(gateway: number, { attempt, parts }: PartRequest): void {
        this.copies[gateway]!.recordBegun(parts, attempt);
    }

    override quarantined(): readonly string[] {
        return this.copies.flatMap(copy => copy.quarantined().map(({ digest }) => digest));
    }

    private createCopy(publishRecords: (records: readonly CrashRecord[]) => void): QuarantinedRequests {
        const rules = quarantineRulesSchema.parse({});
        return QuarantinedRequests.create({ rules, publishRecords, clock: this.clock, logger: createSilentLogger() });
    }

    private report(records: readonly CrashRecord[]): void {
        this.messages += 1;
        this.clock.after(messageMilliseconds, () => {
            this.directory.merge(records);
            const changed = this.directory.changedAfter(this.sentChange);
            this.sentChange = this.directory.latestChange();
            if (changed.length > 0) {
                this.messages += this.gateways;
                this.clock.after(messageMilliseconds, () => this.copies.forEach(copy => void copy.merge(changed)));
            }
        });
    }
}

/** Number of crashes under different requests that have to share a part. */
const intersectionCrashes = 3;

/** Quarantines the parts that the last crashes share and on which no answer has begun since; every begun answer is told to all. */
export class IntersectionWay extends Way {
    private readonly crashes: { readonly at: number; readonly digest: string; readonly parts: readonly string[]; }[][];
    private readonly begunAt: Map<string, number>[];

    private constructor(clock: Clock, gateways: number) {
        super(clock, gateways);
        this.crashes = Array.from({ length: gateways }, () => []);
        this.begunAt = Array.from({ length: gateways }, () => new Map());
    }

    static create(clock: Clock, gateways: number): IntersectionWay {
        return new IntersectionWay(clock, gateways);
    }

    override mayRun(gateway: number, { parts }: PartRequest): boolean {
        const held = this.quarantinedAt(gateway);
        return !parts.some(part => held.includes(part));
    }

    override recordCrash(_gateway: number, { digest, parts }: PartRequest, { hadBegun }: PartCrash): void {
        const at = this.clock.monotonic();
        if (!hadBegun) {
            this.broadcast(gateway => this.crashes[gateway]!.push({ at, digest, parts }));
        }
    }

    override recordBegun(_gateway: number, { parts }: PartRequest): void {
        const at = this.clock.monotonic();
        this.broadcast(gateway => parts.forEach(part => this.begunAt[gateway]!.set(part, at)));
    }

    override quarantined(): readonly string[] {
        return this.crashes.flatMap((_, gateway) => this.quarantinedAt(gateway));
    }

    private quarantinedAt(gateway: number): readonly string[] {
        const known = this.crashes[gateway]!;
        return [...new Set(known.flatMap(({ parts }) => parts))].filter(part => {
            const begunAt = this.begunAt[gateway]!.get(part) ?? -Infinity;
            const since = known.filter(({ at, parts }) => at > begunAt && parts.includes(part));
            return new Set(since.map(({ digest }) => digest)).size >= intersectionCrashes;
        });
    }
}

/** The ways that are compared. */
export const ways: Readonly<Record<string, (clock: Clock, gateways: number) => Way>> = {
    wholeRequests: (clock, gateways) => SequentialWay.create(clock, gateways, false),
    intersection: (clock, gateways) => IntersectionWay.create(clock, gateways),
    sequential: (clock, gateways) => SequentialWay.create(clock, gateways, true),
};
