import { expect } from "chai";
import { ManualClock } from "../../../../../../../simulation/manualClock.js";
import { InstanceTable } from "../../../coordination/index.js";
import { createSilentLogger, RecordedMetrics, SeededRandomness } from "../../../utils/index.js";
import { PlacementService } from "../../directory/placementService.js";
import { RetryAllowance } from "../retryAllowance.js";

const rules = { ratio: 0.2, window: 10_000, slack: 58 };
const gatewayCount = 9;
const stepMilliseconds = 10;
/** Time in which every gateway and the leader run undisturbed before the faults begin. */
const calmMilliseconds = 20_000;
const faultsMilliseconds = 20_000;
const requestsPerStep = 0.25;
const sendsPerRequest = 3;

type Gateway = { readonly allowance: RetryAllowance; };

/** What happens in one step, `time` milliseconds after the first fault. */
type Faults = (deployment: Deployment, time: number) => void;

/**
 * Gateways and leaders with the product's own accounting, before servers that reject everything. Counts arrivals at the
 * servers, not what gateways or leaders believe.
 */
class Deployment {
    readonly clock = new ManualClock();
    readonly random = SeededRandomness.create(7);
    readonly requestTimes: number[] = [];
    readonly retryTimes: number[] = [];
    readonly gateways: Gateway[];
    private leader: PlacementService | undefined;
    private term = 0;

    constructor() {
        this.gateways = Array.from({ length: gatewayCount }, () => this.startedGateway());
        this.electLeader();
    }

    /** The gateway's process ends and starts again with nothing in memory. */
    restart(number: number): void {
        this.gateways[number] = this.startedGateway();
    }

    electLeader(): void {
        this.leader?.close();
        this.term += 1;
        this.leader = PlacementService.create({
            instances: InstanceTable.create(),
            traffic: () => undefined,
            onServerCalls: () => undefined,
            onIncarnationEnded: () => undefined,
            repeats: rules,
            clock: this.clock,
            logger: createSilentLogger(),
        }, this.term);
    }

    /** One step of the callers: each of their requests is rejected, and sent again as often as the allowances permit. */
    async step(faults: Faults | undefined, time: number): Promise<void> {
        faults?.(this, time);
        const gateway = this.gateways[this.random.integer(0, gatewayCount - 1)]!;
        if (this.random.fraction() < requestsPerStep) {
            this.requestTimes.push(this.clock.monotonic());
            gateway.allowance.recordRequest("s");
            for (let send = 1; send < sendsPerRequest; send++) {
                if (faults !== undefined && await gateway.allowance.takeRetry("s")) {
                    this.retryTimes.push(this.clock.monotonic());
                }
            }
        }
        await this.clock.advance(stepMilliseconds);
    }

    close(): void {
        this.leader?.close();
    }

    private startedGateway(): Gateway {
        return {
            allowance: RetryAllowance.create({
                rules,
                clock: this.clock,
                metrics: RecordedMetrics.create(),
                maxGateways: () => gatewayCount,
                borrow: async service => {
                    const message = { kind: "borrow", gateway: "g", service } as const;
                    const answer = await this.leader?.handle(message);
                    return answer?.kind === "lent" && answer.granted;
                },
            }),
        };
    }
}

/** Largest number of retries in a window, as a multiple of what the window's requests and the slack allow. */
function worstWindow({ requestTimes, retryTimes }: Deployment): number {
    const countIn = (times: readonly number[], start: number): number =>
        times.filter(at => at >= start && at < start + rules.window).length;
    return Math.max(...retryTimes.map(start => {
        const requests = Math.max(...[0, 0.5, 1].map(back => countIn(requestTimes, start - back * rules.window)));
        return countIn(retryTimes, start) / (rules.ratio * requests + rules.slack);
    }));
}

async function play(faults: Faults): Promise<Deployment> {
    const deployment = new Deployment();
    for (let time = 0; time < calmMilliseconds; time += stepMilliseconds) {
        await deployment.step(undefined, 0);
    }
    for (let time = 0; time < faultsMilliseconds; time += stepMilliseconds) {
        await deployment.step(faults, time);
    }
    deployment.close();
    return deployment;
}

function every(interval: number, time: number): boolean {
    return time > 0 && time % interval === 0;
}

function restartAllButFirst(deployment: Deployment): void {
    for (let number = 1; number < gatewayCount; number++) {
        deployment.restart(number);
    }
}

describe("the retries of all gateways together", () => {
    // Guards against retries beyond the allowance: each gateway that was started again spent its share once more.
    it("stay within the allowance while gateways are killed again and again", async () => {
        const deployment = await play((running, time) => {
            if (every(2_600, time)) {
                restartAllButFirst(running);
            }
        });
        expect(worstWindow(deployment)).to.be.at.most(1);
    });

    // Guards against retries beyond the allowance: each new leader lent once more what its predecessor had lent.
    it("stay within the allowance while leaders and gateways are killed again and again", async () => {
        const deployment = await play((running, time) => {
            if (every(2_200, time)) {
                running.electLeader();
            }
            if (every(2_600, time)) {
                restartAllButFirst(running);
            }
        });
        expect(worstWindow(deployment)).to.be.at.most(1);
    });

    it("use most of the allowance while nothing fails but the servers", async () => {
        const deployment = await play(() => undefined);
        expect(worstWindow(deployment)).to.be.within(0.65, 1);
    });

    it("are possible at a gateway that has just been started", async () => {
        const deployment = await play((running, time) => {
            if (time === 0) {
                restartAllButFirst(running);
            }
        });
        const firstFault = calmMilliseconds;
        expect(deployment.retryTimes.filter(at => at < firstFault + 2_000)).to.have.length.above(5);
    });
});
