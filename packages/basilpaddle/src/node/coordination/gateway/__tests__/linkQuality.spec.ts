import { expect } from "chai";
import type { LinkStalls } from "../../../protocol/index.js";
import { leaderPlacementTuning } from "../enginePool.js";
import { LinkQuality, StallDetector, stallRateOf } from "../linkQuality.js";
import { PlacementQueue } from "../placementQueue.js";
import { ServerChoice } from "../serverChoice.js";
import { announced, rule, typicalPlacementRequest } from "./fakes.js";

const domains = ["near", "far", "other"] as const;
/** Milliseconds between two events of a stream, normally and if a packet is lost. */
const typicalPause = 50;
const packetLossPause = 290;

function engine(failureDomain: string, number: number): ReturnType<typeof announced> {
    return announced({
        id: `${failureDomain}-${number}`,
        address: `10.0.0.${number}:1`,
        failureDomain,
        stage: "decode",
    });
}

/** Simulates the streams of two engines of each domain; `stallEvery`: number of events per stall for a domain. */
function simulateStreams(
    stallEvery: Partial<Record<string, number>>,
    milliseconds: number,
    links = LinkQuality.create(),
): LinkQuality {
    let count = 0;
    for (let now = 0; now < milliseconds; now += typicalPause) {
        for (const domain of domains) {
            for (const number of [0, 1]) {
                count += 1;
                const every = stallEvery[domain];
                links.countEvent(engine(domain, number), every !== undefined && count % every === 0, now);
            }
        }
    }
    return links;
}

// Guards against streams that are late by single pauses of 200 ms and more, while first events are in time: the links of the
// gateway's failure domain lose 4 packets in 100, and engines used to be selected by their load only, without regard to the
// gateway's failure domain or the pauses in its streams.
describe("link quality", () => {
    it("counts pauses as stalls that are longer than a run's typical pause", () => {
        const pauses = StallDetector.create();
        let now = 0;
        const after = (pause: number): boolean => pauses.recordEvent(now += pause);
        expect([after(0), after(typicalPause), after(typicalPause), after(packetLossPause), after(1)]).to.deep.equal([
            false,
            false,
            false,
            true,
            false,
        ]);
        const slow = StallDetector.create();
        now = 0;
        const stalls = Array.from({ length: 20 }, () => slow.recordEvent(now += 280)).filter(stalled => stalled);
        expect(stalls, "a slow engine's typical pauses").to.deep.equal([]);
    });

    it("detects the domains whose links stall within two seconds", () => {
        const stalls = simulateStreams({ far: 25, other: 25 }, 2_000).stalls(2_000);
        expect(stalls.map(({ failureDomain }) => failureDomain)).to.deep.equal(["far", "other"]);
        stalls.forEach(({ rate }) => expect(rate).to.be.within(0.004, 0.05));
    });

    it("reports no domain if all stall equally often, or only one engine stalls", () => {
        expect(simulateStreams({ near: 25, far: 25, other: 25 }, 4_000).stalls(4_000)).to.deep.equal([]);
        const links = simulateStreams({}, 1_000);
        for (let now = 1_000; now < 2_000; now += typicalPause) {
            links.countEvent(engine("far", 0), true, now);
        }
        expect(links.stalls(2_000)).to.deep.equal([]);
        const single = LinkQuality.create();
        for (let now = 0; now < 4_000; now += typicalPause) {
            domains.forEach(domain => single.countEvent(engine(domain, 0), domain === "far" && now % 400 === 0, now));
        }
        expect(single.stalls(4_000), "a domain with one engine").to.deep.equal([]);
    });

    it("expires over time, also for engines that are gone", () => {
        const links = simulateStreams({ far: 25 }, 3_000);
        expect(stallRateOf(links.stalls(3_000), "far")).to.be.above(0.004);
        expect(links.stalls(200_000)).to.deep.equal([]);
    });

    it("detects stalls with few streams, rare losses and engines that are slow by themselves as well", () => {
        const links = LinkQuality.create();
        for (let now = 0; now < 12_000; now += 200) {
            const number = Math.floor(now / 200);
            links.countEvent(engine("near", 0), false, now);
            links.countEvent(engine("far", number % 3), number % 20 < 3, now);
        }
        const [first] = links.stalls(12_000);
        expect(first?.failureDomain).to.equal("far");
        expect(first?.rate).to.be.within(0.01, 0.2);
    });
});

describe("placement for a gateway whose links lose packets", () => {
    function pool(): PlacementQueue {
        const queue = PlacementQueue.create(leaderPlacementTuning);
        const prefills = domains.map((failureDomain, number) => {
            const address = `10.0.1.${number}:1`;
            return announced({ id: `prefill-${failureDomain}`, failureDomain, stage: "prefill", address });
        });
        const decodes = domains.flatMap(domain => [engine(domain, 0), engine(domain, 1)]);
        queue.setEngines([...prefills, ...decodes], rule);
        return queue;
    }

    const lossyLinks = [{ failureDomain: "far", rate: 0.02 }, { failureDomain: "other", rate: 0.02 }];

    function placementDomains(queue: PlacementQueue, count: number, linkStalls: LinkStalls): string[] {
        return Array.from({ length: count }, (_, number) => {
            const decisions = queue.enqueueRequest(typicalPlacementRequest(`d-${number}`, { linkStalls }), number);
            // Otherwise the queue of prompts would move the other requests to other engines, regardless of the links.
            if (linkStalls.length > 0) {
                queue.prefillCompleted(`d-${number}`, number);
            }
            return decisions;
        })
            .flat()
            .map(decision => decision.kind === "placed" ? decision.decode.split("-")[0]! : "refused");
    }

    it("uses engines in its own domain while they have room, and then the others", () => {
        const near = 16;
        expect(new Set(placementDomains(pool(), near, lossyLinks))).to.deep.equal(new Set(["near"]));
        expect(placementDomains(pool(), near + 6, lossyLinks).slice(-3)).not.to.include("refused");
        expect(new Set(placementDomains(pool(), near + 6, lossyLinks)).size).to.be.above(1);
    });

    it("spreads over all domains if the links are healthy", () => {
        expect(new Set(placementDomains(pool(), 12, [])).size).to.equal(3);
    });

    it("sends plain requests to the server in its own domain until that one is loaded", () => {
        const links = simulateStreams({ far: 25, other: 25 }, 4_000);
        const choice = ServerChoice.create("near", links);
        const servers = domains.map(domain => announced({ id: domain, failureDomain: domain }));
        const chosen = Array.from({ length: 6 }, () => {
            const server = choice.choose(servers, new Set(), 4_000)!;
            choice.recordStart(server.id);
            return server.id;
        });
        expect(chosen.slice(0, 1)).to.deep.equal(["near"]);
        expect(chosen.filter(id => id === "near").length).to.be.within(2, 5);
    });
});
