import type { Randomness } from "../packages/basilpaddle/src/node/utils/index.js";
import {
    configurationDocument,
    documentVersion,
    operatorPaths,
    type RouteKind,
    type StandinRoute,
} from "../platform/src/standins/wire.js";
import { handleLifetimeMilliseconds } from "./backend.js";
import { routeHost, routePrefixes } from "./callers.js";
import type { SoakDeployment } from "./deployment.js";
import type { Invariants } from "./invariants.js";
import { organisationsOf } from "./organisations.js";
import { routeTimeoutMilliseconds } from "./timeLimits.js";

/** Time that an operator waits for a response before the call counts as failed. */
const answerTimeoutMilliseconds = 1_000;
const retryDelayMilliseconds = 150;
const routeKinds: readonly RouteKind[] = ["safe", "unsafe", "resumable", "once"];

/** Sends configurations, retries until they are acknowledged, and reads them back. */
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

    /** Path of the route that only this configuration version contains. */
    static probePath(version: number): string {
        return `/probe-${version}/`;
    }

    /** Stops retrying configurations that aren't acknowledged yet. */
    close(): void {
        this.closed = true;
    }

    /** Sends a new configuration, and retries until it is acknowledged. */
    async change(): Promise<void> {
        this.version += this.random.integer(1, 3);
        await this.sendUntilAcknowledged(this.version, "");
    }

    /** Sends two different configurations with the same version concurrently, as two operators would. */
    async race(): Promise<void> {
        this.version += 1;
        const { version } = this;
        await Promise.all([
            this.sendUntilAcknowledged(version, "-left"),
            this.sendUntilAcknowledged(version, "-right"),
        ]);
    }

    /** Sends a truncated configuration; it must be refused or left unanswered, and never come into force. */
    async sendInvalid(): Promise<void> {
        this.version += 1;
        const answer = await this.call("POST", operatorPaths.store, createDocument(this.version, "").slice(0, -30));
        if (answer?.status === 200) {
            this.invariants.violate("configuration", `version ${this.version}, which was truncated, was acknowledged`);
        }
    }

    /** Reads the configuration from a random directory; undefined if it is down or can't confirm that it is up to date. */
    async read(): Promise<number | undefined> {
        const asOf = this.invariants.newestAcknowledged();
        const answer = await this.call("GET", operatorPaths.read, undefined);
        if (answer?.status !== 200) {
            return undefined;
        }
        const version = documentVersion(answer.text);
        this.invariants.configurationRead(version, answer.text, asOf);
        return version;
    }

    private async sendUntilAcknowledged(version: number, mark: string): Promise<void> {
        const content = createDocument(version, mark);
        this.invariants.configurationSent(version, content);
        while (!this.closed) {
            const answer = await this.call("POST", operatorPaths.store, content);
            if (answer?.status === 200) {
                this.invariants.configurationAcknowledged(version);
                return;
            }
            if (answer !== undefined && answer.status < 500) {
                this.invariants.violate("configuration", `version ${version} was refused with ${answer.status}`);
                return;
            }
            await new Promise(resolve => setTimeout(resolve, retryDelayMilliseconds));
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
            const signal = AbortSignal.timeout(answerTimeoutMilliseconds);
            const answer = await fetch(`http://${address}${path}`, { method, body, signal });
            return { status: answer.status, text: await answer.text() };
        }
        catch {
            // The directory is down, unreachable or timed out: whether the call was executed is unknown.
            return undefined;
        }
    }
}

function createDocument(version: number, mark: string): string {
    const routes: StandinRoute[] = routeKinds.map(kind => ({
        name: `${kind}${mark}`,
        prefix: routePrefixes[kind],
        kind,
    }));
    routes.push({ name: `probe${mark}`, prefix: Operator.probePath(version), kind: "safe" });
    return configurationDocument({
        version,
        host: routeHost,
        routes,
        organisations: organisationsOf(version),
        timeout: routeTimeoutMilliseconds,
        handleLife: handleLifetimeMilliseconds,
    });
}
