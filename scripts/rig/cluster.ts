import {
    type EngineEntry,
    type PoolRules,
    poolSchema,
    type Randomness,
} from "../../packages/basilpaddle/src/node/index.js";
import type { Deployment } from "./deployments.js";
import { DecodeEngine, PrefillEngine } from "./engines.js";
import type { Simulation } from "./simulation.js";

/** One-way network delay in milliseconds within a failure domain and between two. */
const delayWithinDomain = 0.2;
const delayAcrossDomains = 1.5;

/** Engines and entry daemons of one run, and their state in the view. */
export class Cluster {
    readonly prefills: readonly PrefillEngine[];
    readonly decodes: readonly DecodeEngine[];
    /** For each entry daemon: whether its process runs, and whether its session is open. */
    readonly entryAlive: boolean[];
    readonly sessionOpen: boolean[];
    /** For each entry daemon: whether it is partitioned from the others. */
    readonly entryPartitioned: boolean[];
    /** Engines that the view shows as gone. */
    readonly unavailable = new Set<string>();
    /** Decode engines to which KV cache transfers stall. */
    readonly stalledEngines = new Set<string>();
    reportsStopped = false;

    private constructor(
        readonly simulation: Simulation,
        readonly deployment: Deployment,
        readonly randomness: Randomness,
    ) {
        const domain = (position: number): string => deployment.domains[position % deployment.domains.length]!;
        this.prefills = Array.from(
            { length: deployment.prefillEngines },
            (_, position) => PrefillEngine.create(simulation, `p${position}`, domain(position)),
        );
        this.decodes = Array.from(
            { length: deployment.decodeEngines },
            (_, position) => DecodeEngine.create(simulation, `d${position}`, domain(position)),
        );
        this.entryAlive = Array.from({ length: deployment.entries }, () => true);
        this.sessionOpen = Array.from({ length: deployment.entries }, () => true);
        this.entryPartitioned = Array.from({ length: deployment.entries }, () => false);
    }

    static create(simulation: Simulation, deployment: Deployment, randomness: Randomness): Cluster {
        return new Cluster(simulation, deployment, randomness);
    }

    prefill(id: string): PrefillEngine {
        return this.prefills.find(engine => engine.id === id)!;
    }

    decode(id: string): DecodeEngine {
        return this.decodes.find(engine => engine.id === id)!;
    }

    entryDomain(entry: number): string {
        return this.deployment.domains[entry % this.deployment.domains.length]!;
    }

    /** One-way network delay in milliseconds between two failure domains. */
    networkDelay(from: string, to: string): number {
        return from === to ? delayWithinDomain : delayAcrossDomains;
    }

    /** The engines as the view shows them. */
    view(): readonly EngineEntry[] {
        return [...this.prefills, ...this.decodes].map(engine => ({
            announcement: engine.announcement,
            state: this.unavailable.has(engine.id) ? "gone" : "ready",
        }));
    }

    /** Sessions that are open in the view. */
    sessions(): { readonly daemon: string; readonly incarnation: string; }[] {
        return this.sessionOpen.flatMap((open, entry) => open ? [{ daemon: `entry-${entry}`, incarnation: "1" }] : []);
    }

    rules(): PoolRules {
        const { prefillEngines, decodeEngines, targets, weighting } = this.deployment;
        return {
            pool: poolSchema.parse({
                models: [{ name: "draft", version: "v1" }],
                copies: { prefill: prefillEngines, decode: decodeEngines },
                targets,
                weighting,
            }),
            organisations: {},
            anyOrganisation: { share: 1, openRequests: 1_000 },
        };
    }
}
