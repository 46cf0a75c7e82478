import type { ServerAnnouncement } from "../../packages/basilpaddle/src/node/protocol/index.js";
import { SeededRandomness } from "../../packages/basilpaddle/src/node/utils/index.js";
import type { Day, EmulatedPool, EngineFault } from "./day.js";
import { EmulatedDecode, EmulatedPrefill } from "./engines.js";

/** An engine is announced as silent this long after its crash: three heartbeats. */
const silenceTimeoutMilliseconds = 3_600;
const failureDomains = ["a", "b", "c"];
/** Multiplied with the day's seed, so that the selection of faulty engines is independent of the generated requests. */
const faultSeedFactor = 7_919;

/** Callbacks of a fleet, and the scheduler that it uses. */
export type FleetHooks = {
    /** Schedules `act` at the given time. */
    readonly at: (time: number, act: (now: number) => void) => void;
    /** Called with all engines whenever the announcement of one changes. */
    readonly onAnnounced: (announced: readonly ServerAnnouncement[]) => void;
    /** Called with the names of the runs that a crashed engine lost. */
    readonly onRunsLost: (runs: readonly string[], now: number) => void;
};

type Stage = "prefill" | "decode";

/** The engines of a pool during a day, with their announcements and faults. */
export class Fleet {
    private readonly prefills = new Map<string, EmulatedPrefill>();
    private readonly decodes = new Map<string, EmulatedDecode>();
    private announced: ServerAnnouncement[] = [];
    private recomputedTokensOfCrashedEngines = 0;

    private constructor(private readonly pool: EmulatedPool, private readonly hooks: FleetHooks) {}

    /** Creates and announces a day's engines; the seed selects the engines that its faults affect. */
    static create(day: Day, seed: number, hooks: FleetHooks): Fleet {
        const fleet = new Fleet(day.pool, hooks);
        const { prefill, decode } = day.pool;
        for (let number = 0; number < prefill + decode; number++) {
            const stage = number < prefill ? "prefill" : "decode";
            fleet.add(`${stage}-${number}`, number, stage);
        }
        const random = SeededRandomness.create(seed * faultSeedFactor);
        for (const fault of day.faults) {
            const ranked = fleet.announced.map(({ id }) => ({ id, rank: random.fraction() }));
            const affected = ranked.sort((one, other) => one.rank - other.rank).slice(
                0,
                Math.ceil(fault.part * ranked.length),
            );
            affected.forEach(({ id }) => fleet.scheduleFault(id, fault));
        }
        hooks.onAnnounced(fleet.announced);
        return fleet;
    }

    /** The prefill engine with this id; undefined after it crashed. */
    prefill(id: string): EmulatedPrefill | undefined {
        return this.prefills.get(id);
    }

    /** The decode engine with this id; undefined after it crashed. */
    decode(id: string): EmulatedDecode | undefined {
        return this.decodes.get(id);
    }

    /** All decode engines that are up. */
    decodeEngines(): readonly EmulatedDecode[] {
        return [...this.decodes.values()];
    }

    /** Tokens that were computed again after preemptions, including those of crashed engines. */
    totalRecomputedTokens(): number {
        return this.decodeEngines().reduce(
            (sum, engine) => sum + engine.recomputedPromptTokens,
            this.recomputedTokensOfCrashedEngines,
        );
    }

    private add(id: string, number: number, stage: Stage): void {
        const { figures, slowThird, speeds = [1] } = this.pool;
        const slowness = (number % 3 === 2 ? slowThird : 1) / speeds[number % speeds.length]!;
        if (stage === "prefill") {
            this.prefills.set(id, new EmulatedPrefill(figures, slowness));
        }
        else {
            this.decodes.set(id, new EmulatedDecode(figures, slowness));
        }
        this.announced = [...this.announced, {
            id,
            service: "pool",
            address: `10.0.0.${number}:80`,
            failureDomain: failureDomains[Math.floor(number / 3) % failureDomains.length]!,
            slots: figures.slots,
            state: "ready",
            sequence: 1,
            stage,
        }];
    }

    private scheduleFault(id: string, fault: EngineFault): void {
        const { at } = this.hooks;
        if (fault.kind === "crash") {
            at(fault.at, now => this.crash(id, now));
            at(fault.at + Math.min(fault.lasts, silenceTimeoutMilliseconds), () => this.announceSilent(id));
            at(fault.at + fault.lasts, () => this.replace(id));
            return;
        }
        at(fault.at, () => this.multiplySlowdown(id, fault.times));
        at(fault.at + fault.lasts, () => this.multiplySlowdown(id, 1 / fault.times));
    }

    private crash(id: string, now: number): void {
        const decode = this.decodes.get(id);
        this.recomputedTokensOfCrashedEngines += decode?.recomputedPromptTokens ?? 0;
        this.prefills.delete(id);
        this.decodes.delete(id);
        this.hooks.onRunsLost(decode?.crash() ?? [], now);
    }

    /** Announces a crashed engine as silent, at its timeout or when its replacement starts. */
    private announceSilent(id: string): void {
        this.announced = this.announced.map(engine => engine.id === id ? { ...engine, state: "silent" } : engine);
        this.hooks.onAnnounced(this.announced);
    }

    /** Starts and announces a replacement of a crashed engine, with a new id at the same address. */
    private replace(id: string): void {
        const previous = this.announced.find(engine => engine.id === id);
        const replacementId = `${id}+`;
        // An engine that is affected by two crash faults is replaced once.
        const isReplaced = this.announced.some(engine => engine.id === replacementId);
        if (previous?.stage === undefined || isReplaced) {
            return;
        }
        this.add(replacementId, Number(id.replace(/\D/g, "")), previous.stage);
        this.hooks.onAnnounced(this.announced);
    }

    private multiplySlowdown(id: string, times: number): void {
        const engine = this.prefills.get(id) ?? this.decodes.get(id);
        if (engine !== undefined) {
            engine.slowness *= times;
        }
    }
}
