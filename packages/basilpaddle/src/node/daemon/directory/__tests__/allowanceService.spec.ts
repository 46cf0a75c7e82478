import { expect } from "chai";
import { ManualClock } from "../../../../../../../simulation/manualClock.js";
import type { Traffic } from "../../../protocol/index.js";
import { createSilentLogger } from "../../../utils/index.js";
import { AllowanceService } from "../allowanceService.js";
import { GatewayPresence } from "../gatewayPresence.js";

const allowance = { unit: "tokens", rate: 1_000, burst: 1_000, defaultCost: 0 } as const;
const traffic = { organisations: [{ name: "o", keys: [], allowance }] } as unknown as Traffic;
const gateways = ["a", "b", "c", "d"];

describe("the allowances at a leader", () => {
    let clock: ManualClock;
    let presence: GatewayPresence;
    let service: AllowanceService;

    beforeEach(() => {
        clock = new ManualClock(0);
        presence = GatewayPresence.create();
        gateways.forEach(gateway => presence.record(gateway, 0));
        service = AllowanceService.create({
            traffic: () => traffic,
            term: 1,
            presence,
            firstLeader: true,
            onLimitsChanged: () => undefined,
            clock,
            logger: createSilentLogger(),
        });
    });

    /** Whether the organisation has any unit left after so many have been spent. */
    const hasLeftAfter = (units: number): boolean => {
        service.handle({ kind: "spent", gateway: "a", spent: [{ organisation: "o", units }] });
        const reply = service.handle({ kind: "charge", gateway: "a", organisation: "o", cost: 1 });
        return reply?.kind === "charged" && reply.decision.granted;
    };

    // Guards against an organisation that is refused what it may have because busy gateways send their watches late.
    it("don't lose the rate of gateways that were silent for a moment and spent nothing", async () => {
        expect(hasLeftAfter(900)).to.equal(true);
        for (let round = 0; round < 10; round++) {
            await clock.advance(1_300);
            presence.record("a", clock.monotonic());
            service.review();
            gateways.forEach(gateway => presence.record(gateway, clock.monotonic()));
            service.review();
        }
        expect(hasLeftAfter(500)).to.equal(true);
    });

    // Guards against units that a gateway's own share and the leader both grant while the leader doesn't hear of the gateway.
    it("charge what a returning gateway's share granted beyond the rate that was withheld for it", async () => {
        service.handle({ kind: "charge", gateway: "a", organisation: "o", cost: 600 });
        ["a", "b", "c"].forEach(gateway => presence.record(gateway, 1_200));
        await clock.advance(1_200);
        service.review();
        await clock.advance(800);
        gateways.forEach(gateway => presence.record(gateway, clock.monotonic()));
        service.review();
        const spent = [{ organisation: "o", units: 1_500, shared: true }];
        service.handle({ kind: "spent", gateway: "d", spent });
        expect(hasLeftAfter(0)).to.equal(false);
    });
});
