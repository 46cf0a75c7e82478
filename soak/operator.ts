import type { Randomness } from "../packages/basilpaddle/src/node/utils/index.js";
import {
    configurationDocument,
    documentVersion,
    operatorPaths,
    type RouteKind,
    type StandinRoute,
} from "../platform/src/standins/wire.js";
import { handleLife } from "./backend.js";
import { routeHost, routePrefixes, routeTimeout } from "./callers.js";
import type { SoakDeployment } from "./deployment.js";
import type { Invariants } from "./invariants.js";

/** Milliseconds that an operator waits for an answer before it asks the next directory. */
const answerPatience = 1_000;
const pauseBetween = 150;
const kinds: readonly RouteKind[] = ["safe", "unsafe", "resumable", "once"];

/** Sends configurations, sends them again until they are acknowledged, and reads them back. */
export class Operator {
    private version = 0;
    private closed = false;

    private constructor(
        private readonly deployment: SoakDeployment,
        private readonly invariants: Invariants,
        private readonly random: Randomness,
    ) {}

    static create(deployment: SoakDeployment, invariants: Invariants, random: Randomness): Operator {
        return new Operator(deployment, invariants, random);
    }

    /** Path of the route that only one version has. */
    static probePath(version: number): string {
        return `/probe-${version}/`;
    }

    /** Gives up what isn't acknowledged yet. */
    close(): void {
        this.closed = true;
    }

    /** Sends a new configuration until it is acknowledged. */
    async change(): Promise<void> {
        this.version += this.random.integer(1, 3);
        await this.store(this.version, "");
    }

    /** Two operators send different configurations under one version, to two directories. */
    async race(): Promise<void> {
        this.version += 1;
        const { version } = this;
        await Promise.all([this.store(version, "-left"), this.store(version, "-right")]);
    }

    /** Sends what can't be read in full; it must be refused or left unanswered, and never come into force. */
    async sendInvalid(): Promise<void> {
        this.version += 1;
        const answer = await this.call("POST", operatorPaths.store, document(this.version, "").slice(0, -30));
        if (answer?.status === 200) {
            this.invariants.violate("configuration", `version ${this.version}, which isn't whole, was acknowledged`);
        }
    }

    /** Reads the configuration at some directory; undefined where that can't be sure or is down. */
    async read(): Promise<number | undefined> {
        const asOf = this.invariants.newest();
        const answer = await this.call("GET", operatorPaths.read, undefined);
        if (answer?.status !== 200) {
            return undefined;
        }
        const version = documentVersion(answer.text);
        this.invariants.read(version, answer.text, asOf);
        return version;
    }

    private async store(version: number, mark: string): Promise<void> {
        const content = document(version, mark);
        this.invariants.offered(version, content);
        while (!this.closed) {
            const answer = await this.call("POST", operatorPaths.store, content);
            if (answer?.status === 200) {
                this.invariants.accepted(version);
                return;
            }
            if (answer !== undefined && answer.status < 500) {
                this.invariants.violate("configuration", `version ${version} was refused with ${answer.status}`);
                return;
            }
            await new Promise(resolve => setTimeout(resolve, pauseBetween));
        }
    }

    private async call(
        method: "GET" | "POST",
        path: string,
        body: string | undefined,
    ): Promise<{ readonly status: number; readonly text: string; } | undefined> {
        const addresses = this.deployment.callAddresses();
        const address = addresses[this.random.integer(0, addresses.length - 1)]!;
        try {
            const signal = AbortSignal.timeout(answerPatience);
            const answer = await fetch(`http://${address}${path}`, { method, body, signal });
            return { status: answer.status, text: await answer.text() };
        }
        catch {
            // It is down, cut off, or didn't answer in time: what became of the call isn't known.
            return undefined;
        }
    }
}

function document(version: number, mark: string): string {
    const routes: StandinRoute[] = kinds.map(kind => ({ name: `${kind}${mark}`, prefix: routePrefixes[kind], kind }));
    routes.push({ name: `probe${mark}`, prefix: Operator.probePath(version), kind: "safe" });
    return configurationDocument({ version, host: routeHost, routes, timeout: routeTimeout, handleLife });
}
