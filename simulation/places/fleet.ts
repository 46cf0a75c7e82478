import type { Announced } from "../../packages/basilpaddle/src/node/protocol/index.js";
import { SeededRandomness } from "../../packages/basilpaddle/src/node/utils/index.js";
import type { Day, EmulatedPool, EngineFault } from "./day.js";
import { EmulatedDecode, EmulatedPrefill } from "./engines.js";

/** Milliseconds after its end in which an engine is announced as silent: three heartbeats. */
const silentAfter = 3_600;
const failureDomains = ["a", "b", "c"];
/** Sets the draw of the engines that faults befall apart from the draw of the requests. */
const faultSeed = 7_919;

/** What the fleet tells of, and by what it lets time pass. */
export type FleetHooks = {
    /** Has something done at a time. */
    readonly at: (time: number, act: (now: number) => void) => void;
    /** Engines are announced anew. */
    readonly onAnnounced: (announced: readonly Announced[]) => void;
    /** An engine ended with these runs. */
    readonly onLost: (runs: readonly string[], now: number) => void;
};

type Stage = "prefill" | "decode";

/** The engines of a pool over a day: what they are, what is announced of them, and what befalls them. */
export class Fleet {
    private readonly prefills = new Map<string, EmulatedPrefill>();
    private readonly decodes = new Map<string, EmulatedDecode>();
    private announced: Announced[] = [];
    private readAgainBefore = 0;

    private constructor(private readonly pool: EmulatedPool, private readonly hooks: FleetHooks) {}

    /** Makes a day's engines and announces them; their faults follow from the seed. */
    static create(day: Day, seed: number, hooks: FleetHooks): Fleet {
        const fleet = new Fleet(day.pool, hooks);
        const { prefill, decode } = day.pool;
        for (let number = 0; number < prefill + decode; number++) {
            const stage = number < prefill ? "prefill" : "decode";
            fleet.add(`${stage}-${number}`, number, stage);
        }
        const random = SeededRandomness.create(seed * faultSeed);
        for (const fault of day.faults) {
            const drawn = fleet.announced.map(({ id }) => ({ id, rank: random.fraction() }));
            const struck = drawn.sort((one, other) => one.rank - other.rank).slice(
                0,
                Math.ceil(fault.part * drawn.length),
            );
            struck.forEach(({ id }) => fleet.schedule(id, fault));
        }
        hooks.onAnnounced(fleet.announced);
        return fleet;
    }

    /** The engine that reads prompts under the name; undefined where it has ended. */
    prefill(id: string): EmulatedPrefill | undefined {
        return this.prefills.get(id);
    }

    /** The engine that makes runs under the name; undefined where it has ended. */
    decode(id: string): EmulatedDecode | undefined {
        return this.decodes.get(id);
    }

    /** All engines that make runs. */
    running(): readonly EmulatedDecode[] {
        return [...this.decodes.values()];
    }

    /** Tokens that were read again after runs were put back. */
    readAgain(): number {
        return this.running().reduce((sum, engine) => sum + engine.readAgain, this.readAgainBefore);
    }

    private add(id: string, number: number, stage: Stage): void {
        const { figures, slowThird } = this.pool;
        const slowness = number % 3 === 2 ? slowThird : 1;
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

    private schedule(id: string, fault: EngineFault): void {
        const { at } = this.hooks;
        if (fault.kind === "crash") {
            at(fault.at, now => this.crash(id, now));
            at(fault.at + Math.min(fault.lasts, silentAfter), () => this.silence(id));
            at(fault.at + fault.lasts, () => this.replace(id));
            return;
        }
        at(fault.at, () => this.slow(id, fault.times));
        at(fault.at + fault.lasts, () => this.slow(id, 1 / fault.times));
    }

    private crash(id: string, now: number): void {
        const decode = this.decodes.get(id);
        this.readAgainBefore += decode?.readAgain ?? 0;
        this.prefills.delete(id);
        this.decodes.delete(id);
        this.hooks.onLost(decode?.crash() ?? [], now);
    }

    /** An engine that ended is missed, or another one is heard of at its address. */
    private silence(id: string): void {
        this.announced = this.announced.map(engine => engine.id === id ? { ...engine, state: "silent" } : engine);
        this.hooks.onAnnounced(this.announced);
    }

    /** An engine that ended starts again, as another one at the same address. */
    private replace(id: string): void {
        const before = this.announced.find(engine => engine.id === id);
        const next = `${id}+`;
        // One that was struck twice comes back once.
        const isBack = this.announced.some(engine => engine.id === next);
        if (before?.stage === undefined || isBack) {
            return;
        }
        this.add(next, Number(id.replace(/\D/g, "")), before.stage);
        this.hooks.onAnnounced(this.announced);
    }

    private slow(id: string, times: number): void {
        const engine = this.prefills.get(id) ?? this.decodes.get(id);
        if (engine !== undefined) {
            engine.slowness *= times;
        }
    }
}
