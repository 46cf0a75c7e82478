import { pause } from "../playground/harness/index.js";
import type { Backend } from "./backend.js";
import { type Departure, departureKinds } from "./departure.js";
import type { SoakDeployment } from "./deployment.js";
import type { Fault } from "./plan.js";

/** Time between two departures of a series. */
const departureGapMilliseconds = 700;

/** Lets backend servers leave, each after another one has started in its place. */
export class BackendDepartures {
    private constructor(
        private readonly deployment: SoakDeployment,
        private readonly record: (fault: Fault, target: string) => void,
    ) {}

    /** `record`: called with each server that leaves. */
    static create(deployment: SoakDeployment, record: (fault: Fault, target: string) => void): BackendDepartures {
        return new BackendDepartures(deployment, record);
    }

    /** Backend servers leave in series, each in another way. */
    async leaveInSeries(fault: Fault): Promise<void> {
        const departures = departureKinds.map(async (kind, number) => {
            await pause(number * departureGapMilliseconds);
            await this.replaceOne(fault, {
                kind,
                directory: number + 1,
                lateHeartbeat: kind === "draining" ? undefined : fault.lasts,
            });
        });
        await Promise.all(departures);
    }

    /** Replaces all engines of one version by engines of another, one after the other, and those by engines of the first again. */
    async replaceVersion(fault: Fault): Promise<void> {
        const count = this.enginesOf("v1").length;
        const there = this.replaceAll(fault, "v1", "v3");
        await pause(count * departureGapMilliseconds + fault.lasts);
        await Promise.all([there, this.replaceAll(fault, "v3", "v1")]);
    }

    private async replaceAll(fault: Fault, from: string, to: string): Promise<void> {
        const replaced = this.enginesOf(from).map(async (engine, number) => {
            await pause(number * departureGapMilliseconds);
            if (this.enginesOf(from).includes(engine)) {
                await this.replace(fault, engine, { kind: "draining", directory: 0, lateHeartbeat: undefined }, to);
            }
        });
        await Promise.all(replaced);
    }

    /** Engines of a software version that don't leave. */
    private enginesOf(softwareVersion: string): readonly Backend[] {
        return this.deployment.backends.filter(backend => {
            return backend.service === "pool" && backend.version === softwareVersion && !backend.isDraining();
        });
    }

    /** Starts a new backend server, and lets an old one leave. */
    async replaceOne(fault: Fault, departure: Departure): Promise<void> {
        const backend = pickByFraction(this.deployment.backends.filter(one => !one.isDraining()), fault.pick);
        await this.replace(fault, backend, departure, backend.version);
    }

    private async replace(fault: Fault, backend: Backend, departure: Departure, version: string): Promise<void> {
        this.record(fault, `${backend.id} (${departure.kind}, ${version})`);
        await this.deployment.addBackend(backend.service, backend.initialStage, undefined, version);
        await backend.leave(departure);
        this.deployment.removeBackend(backend);
    }
}

/** Selects one of several by a fraction. */
export function pickByFraction<T>(all: readonly T[], fraction: number): T {
    return all[Math.min(all.length - 1, Math.floor(fraction * all.length))]!;
}
