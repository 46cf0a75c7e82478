import { expect } from "chai";
import { ManualClock } from "../../../../../../../simulation/manualClock.js";
import { ServerAdmission } from "../../../coordination/index.js";
import { createSilentLogger, RecordedMetrics, SeededRandomness } from "../../../utils/index.js";
import { ServerLimitService } from "../../directory/serverLimitService.js";

const server = "s";
const limit = 3;
const windowMilliseconds = 4_000;
/** Time from the first answer that names the limit until it must be kept. */
const graceMilliseconds = 3_000;
const dayMilliseconds = 30_000;
const stepMilliseconds = 10;
const requestsPerSecond = 60;
const waitMilliseconds = 60;

/** Time after a gateway's first answer with the limit from which its requests count. */
const toldMilliseconds = 500;

type Gateway = { admission: ServerAdmission; leader: ServerLimitService | undefined; toldAt: number | undefined; };
type Faults = (deployment: Deployment, time: number) => void;

/**
 * Gateways and leaders with the product's own decisions, before one server; counts what arrives there from gateways that it
 * has told its limit.
 */
class Deployment {
    readonly clock = new ManualClock();
    readonly random = SeededRandomness.create(11);
    /** When requests arrived, and those of them that gateways sent which the server had told its limit. */
    readonly arrivals: number[] = [];
    readonly countedArrivals: number[] = [];
    readonly gateways: Gateway[];
    private restarts = 0;

    constructor(private readonly gatewayCount: number, private readonly isUneven: boolean) {
        this.gateways = Array.from({ length: gatewayCount }, () => this.startedGateway());
        this.elect(() => true);
    }

    /** A new leader begins to serve the gateways that `reach` selects; others keep the one that they have. */
    elect(reach: (number: number) => boolean): void {
        const leader = ServerLimitService.create({
            onChanged: () => this.publish(leader),
            clock: this.clock,
            logger: createSilentLogger(),
        });
        this.gateways.filter((_, number) => reach(number)).forEach(gateway => {
            gateway.leader = leader;
        });
    }

    /** Cuts gateways off from every leader. */
    cut(isCut: (number: number) => boolean): void {
        this.gateways.filter((_, number) => isCut(number)).forEach(gateway => {
            gateway.leader = undefined;
        });
    }

    /** Two thirds of the gateways start again with nothing in memory. */
    restartMost(): void {
        this.gateways.forEach((_, number) => {
            if (number % 3 > 0) {
                this.restart(number);
            }
        });
    }

    async play(faults: Faults): Promise<void> {
        for (let time = 0; time < dayMilliseconds; time += stepMilliseconds) {
            faults(this, time);
            if (this.random.fraction() < requestsPerSecond * stepMilliseconds / 1_000) {
                void this.request();
            }
            await this.clock.advance(stepMilliseconds);
        }
    }

    private restart(number: number): void {
        const { leader } = this.gateways[number]!;
        const gateway = this.startedGateway();
        gateway.leader = leader;
        gateway.admission.observeLeader(leader?.recent() ?? []);
        this.gateways[number] = gateway;
    }

    private async request(): Promise<void> {
        const isFavoured = this.isUneven && this.random.fraction() < 0.8;
        const gateway = this.gateways[isFavoured ? 0 : this.random.integer(0, this.gatewayCount - 1)]!;
        if (await gateway.admission.admit(server, waitMilliseconds)) {
            const now = this.clock.monotonic();
            this.arrivals.push(now);
            if (gateway.toldAt !== undefined && now >= gateway.toldAt + toldMilliseconds) {
                this.countedArrivals.push(now);
            }
            gateway.toldAt ??= now;
            gateway.admission.observeAnswer(server, limit);
        }
    }

    private publish(leader: ServerLimitService): void {
        const reached = this.gateways.filter(gateway => gateway.leader === leader);
        reached.forEach(({ admission }) => admission.observeLeader(leader.recent()));
    }

    private startedGateway(): Gateway {
        this.restarts += 1;
        const gateway: Gateway = {
            leader: undefined,
            toldAt: undefined,
            admission: ServerAdmission.create({
                name: `gateway-${this.restarts}`,
                leader: {
                    isAvailable: () => gateway.leader !== undefined,
                    admit: async (observed, within) => {
                        const reply = gateway.leader?.handle({ kind: "admit", observed, within });
                        return reply?.kind === "admission" ? reply.admission : undefined;
                    },
                    send: message => void gateway.leader?.handle(message),
                },
                gateways: () => this.gatewayCount,
                clock: this.clock,
                logger: createSilentLogger(),
                metrics: RecordedMetrics.create(),
            }),
        };
        return gateway;
    }
}

async function play(gatewayCount: number, faults: Faults, isUneven = false): Promise<Deployment> {
    const deployment = new Deployment(gatewayCount, isUneven);
    await deployment.play(faults);
    return deployment;
}

/** Most requests in a window, as a multiple of what the platform allows: one and a half times the limit, and five. */
function worstWindow({ countedArrivals }: Deployment): number {
    const starts = countedArrivals.filter(at => at >= graceMilliseconds);
    const allowed = 1.5 * limit * windowMilliseconds / 1_000 + 5;
    return Math.max(
        0,
        ...starts.map(start => starts.filter(at => at >= start && at < start + windowMilliseconds).length),
    ) / allowed;
}

/** Requests per second that the server received, as a fraction of what it takes. */
function usedFraction({ arrivals }: Deployment): number {
    return arrivals.filter(at => at >= graceMilliseconds).length / (dayMilliseconds - graceMilliseconds) * 1_000
        / limit;
}

function isEvery(interval: number, time: number): boolean {
    return time > 0 && time % interval === 0;
}

describe("a server that names a limit", () => {
    for (const gatewayCount of [8, 191]) {
        for (const isUneven of [false, true]) {
            const title = `${gatewayCount} gateways${isUneven ? ", most requests at one" : ""}`;
            it(`receives what it takes, and no more: ${title}`, async () => {
                const deployment = await play(gatewayCount, () => undefined, isUneven);
                expect(worstWindow(deployment)).to.be.at.most(1);
                expect(usedFraction(deployment)).to.be.within(0.8, 1.1);
            });
        }

        // Guards against requests beyond the limit: each new leader began with a full bucket.
        it(`receives no more while leaders and gateways are killed again and again: ${gatewayCount} gateways`, async () => {
            const deployment = await play(gatewayCount, (running, time) => {
                if (isEvery(900, time)) {
                    running.elect(() => true);
                }
                if (isEvery(1_300, time)) {
                    running.restartMost();
                }
            });
            expect(worstWindow(deployment)).to.be.at.most(1);
            expect(usedFraction(deployment)).to.be.above(0.5);
        });

        it(`receives no more while a half of the gateways reaches no leader: ${gatewayCount} gateways`, async () => {
            const deployment = await play(gatewayCount, (running, time) => {
                if (time === 5_000) {
                    running.cut(number => number % 2 === 0);
                }
            });
            expect(worstWindow(deployment)).to.be.at.most(1);
        });

        it(`receives a part of what it takes without any leader: ${gatewayCount} gateways`, async () => {
            const deployment = await play(gatewayCount, (running, time) => {
                if (time === 2_000) {
                    running.cut(() => true);
                }
            });
            expect(worstWindow(deployment)).to.be.at.most(1);
            expect(usedFraction(deployment)).to.be.above(0);
        });

        it(`receives no more while two directories lead for two seconds: ${gatewayCount} gateways`, async () => {
            const deployment = await play(gatewayCount, (running, time) => {
                if (isEvery(6_000, time)) {
                    running.elect(number => number % 2 === 0);
                }
                if (isEvery(6_000, time - 2_000)) {
                    running.elect(() => true);
                }
            });
            expect(worstWindow(deployment)).to.be.at.most(1);
        });
    }
});
