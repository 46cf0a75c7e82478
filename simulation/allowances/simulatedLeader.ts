import type { LimitedOrganisations, SpentUnits } from "../../packages/basilpaddle/src/node/coordination/index.js";
import { AllowanceService, noLimits } from "../../packages/basilpaddle/src/node/daemon/directory/allowanceService.js";
import { GatewayPresence } from "../../packages/basilpaddle/src/node/daemon/directory/gatewayPresence.js";
import type { ChargeDecision, Traffic } from "../../packages/basilpaddle/src/node/protocol/index.js";
import { createSilentLogger } from "../../packages/basilpaddle/src/node/utils/index.js";
import type { ManualClock } from "../manualClock.js";
import type { AllowanceDay } from "./day.js";

/** The delay of a leader's pushes to gateways, and the interval of its reviews. */
const pushMilliseconds = 100;
const reviewMilliseconds = 300;
/** Interval of a gateway's watches. */
const watchMilliseconds = 1_000;
const millisecondsInSecond = 1_000;

/** The leader, and what each gateway knows of it. */
export class SimulatedLeader {
    messages = 0;
    private terms = 1;
    /** Watches reach all directories, also while none leads. */
    private readonly presence = GatewayPresence.create();
    private service: AllowanceService;
    /** What each gateway knows. */
    private pushed: LimitedOrganisations = noLimits;

    constructor(
        private readonly clock: ManualClock,
        private readonly day: AllowanceDay,
        private readonly traffic: Traffic,
    ) {
        this.service = this.createService(true);
        this.receiveWatches();
        this.review();
    }

    /** Whether it answers a gateway now. */
    reaches(gateway: number): boolean {
        const seconds = this.clock.monotonic() / millisecondsInSecond;
        const isLost = (this.day.leaderLost ?? []).some(({ from, until }) => from <= seconds && seconds < until);
        return !isLost && !this.isCutOff(gateway);
    }

    private isCutOff(gateway: number): boolean {
        const { cutOff, gateways } = this.day;
        const seconds = this.clock.monotonic() / millisecondsInSecond;
        return cutOff !== undefined && gateway < cutOff.fraction * gateways
            && cutOff.from <= seconds && seconds < cutOff.until;
    }

    /** Milliseconds until it handles a message that arrives now. */
    delay(): number {
        const { leaderLate } = this.day;
        const now = this.clock.monotonic();
        const seconds = now / millisecondsInSecond;
        if (leaderLate === undefined || seconds < leaderLate.from || seconds >= leaderLate.until) {
            return 0;
        }
        return Math.max(0, leaderLate.stopped - now % leaderLate.period);
    }

    /** Its successor starts: without its memory, and without having named organisations near their limit. */
    restart(): void {
        this.terms += 1;
        this.service = this.createService(false);
        this.pushed = noLimits;
    }

    name(): string {
        return `leader-${this.terms}`;
    }

    isNearLimit(organisation: string): boolean {
        return this.pushed.near.includes(organisation);
    }

    hasUsedUp(organisation: string): boolean {
        return this.pushed.usedUp.includes(organisation);
    }

    charge(
        gateway: number,
        organisation: string,
        cost: number,
        rank: number | undefined,
    ): ChargeDecision | undefined {
        this.messages += 2;
        const reply = this.service.handle({ kind: "charge", gateway: `g-${gateway}`, organisation, cost, rank });
        return reply?.kind === "charged" ? reply.decision : undefined;
    }

    recordSpent(gateway: number, spent: readonly SpentUnits[]): void {
        this.messages += 1;
        this.service.handle({ kind: "spent", gateway: `g-${gateway}`, spent: [...spent] });
    }

    private createService(firstLeader: boolean): AllowanceService {
        return AllowanceService.create({
            traffic: () => this.traffic,
            term: this.terms,
            presence: this.presence,
            firstLeader,
            onLimitsChanged: () => this.push(),
            clock: this.clock,
            logger: createSilentLogger(),
        });
    }

    private push(): void {
        this.messages += 2 * this.day.gateways;
        this.clock.after(pushMilliseconds, () => {
            this.pushed = this.service.limits();
        });
    }

    private receiveWatches(): void {
        for (let gateway = 0; gateway < this.day.gateways; gateway++) {
            if (!this.isCutOff(gateway)) {
                this.presence.record(`g-${gateway}`, this.clock.monotonic());
            }
        }
        this.clock.after(watchMilliseconds, () => this.receiveWatches());
    }

    private review(): void {
        this.service.review();
        this.clock.after(reviewMilliseconds, () => this.review());
    }
}
