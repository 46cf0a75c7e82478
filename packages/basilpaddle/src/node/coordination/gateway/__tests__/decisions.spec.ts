import { expect } from "chai";
import { checkTraffic, trafficSchema } from "../../../protocol/index.js";
import { RouteTable } from "../routeTable.js";
import { ServerChoice } from "../serverChoice.js";
import { ServiceRetryBudget, SharedRetryBudget } from "../serviceRetryBudget.js";
import { planStages } from "../stagePlan.js";
import { announced, engines, enginesOfVersion, route, rule } from "./fakes.js";

const limits = { headerBytes: 1_000, bodyBytes: 1_000, headerTimeout: 1_000, idleTimeout: 1_000 };
const services = [
    { name: "s", healthPath: "/", connectionLimit: 10 },
    { name: "t", healthPath: "/", connectionLimit: 10 },
];

describe("RouteTable", () => {
    const table = RouteTable.create({
        version: 1,
        routes: [
            route({ name: "short", pathPrefix: "/a/" }),
            route({ name: "long", pathPrefix: "/a/b/" }),
            route({
                name: "split",
                host: "Other.Example",
                targets: [{ service: "s", weight: 90 }, { service: "t", weight: 10 }],
            }),
        ],
        services,
        limits,
    });

    it("matches the longest prefix of the host, regardless of its port and case", () => {
        expect(table.match("H.example:80", "/a/b/c?x=/")?.name).to.equal("long");
        expect(table.match("h.example", "/a/c")?.name).to.equal("short");
        expect(table.match("h.example", "/a")?.name).to.equal(undefined);
        expect(table.match("x.example", "/a/b/c")).to.equal(undefined);
    });

    it("splits by weight, with the same result for the same identifier", () => {
        const split = table.match("other.example", "/")!;
        const selected = Array.from({ length: 2_000 }, (_, number) => table.serviceOf(split, `id-${number}`)?.name);
        const fractionOfT = selected.filter(name => name === "t").length / selected.length;
        expect(fractionOfT).to.be.within(0.07, 0.13);
        expect(table.serviceOf(split, "id-7")?.name).to.equal(selected[7]);
    });
});

describe("a configuration", () => {
    it("is refused with all findings between its parts", () => {
        const findings = checkTraffic({
            version: 1,
            routes: [
                route({ targets: [{ service: "missing", weight: 1 }] }),
                route({ targets: [{ service: "s", weight: 0 }] }),
            ],
            services,
            limits,
        });
        expect(findings.map(finding => finding.place)).to.have.members([
            "routes[0].targets",
            "routes[1].targets",
            "routes[1].pathPrefix",
        ]);
    });

    it("is refused with a timeout of 0", () => {
        const zeroTimeout = { version: 1, routes: [{ ...route({}), timeout: 0 }], services, limits };
        expect(trafficSchema.safeParse(zeroTimeout).success).to.equal(false);
    });
});

describe("ServiceRetryBudget", () => {
    it("stays within the ratio and the slack in every window, over all gateways", () => {
        const rules = { ratio: 0.2, window: 10_000, slack: 50 };
        const gateways = Array.from({ length: 8 }, () => ServiceRetryBudget.create(rules, -rules.window));
        const taken: number[] = [];
        let requests = 0;
        for (let now = 10_000; now < 40_000; now += 10) {
            const gateway = gateways[(now / 10) % 8]!;
            gateway.recordRequest(now);
            requests += 1;
            for (let again = 0; again < 3; again++) {
                if (gateway.takeRetry(now, 8)) {
                    taken.push(now);
                }
            }
        }
        for (let start = 10_000; start < 30_000; start += 500) {
            const inWindow = taken.filter(at => at >= start && at < start + rules.window).length;
            expect(inWindow).to.be.at.most(rules.ratio * requests / 3 + rules.slack);
        }
        expect(taken.length).to.be.above(100);
    });

    it("accepts the return of a retry that reached no server", () => {
        const budget = ServiceRetryBudget.create({ ratio: 0, window: 1_000, slack: 5 }, 0);
        expect([budget.takeRetry(5_000, 1), budget.takeRetry(5_001, 1)]).to.deep.equal([true, false]);
        budget.returnRetry(5_002);
        expect(budget.takeRetry(5_003, 1)).to.equal(true);
    });

    it("doesn't count retries older than the window", () => {
        const budget = ServiceRetryBudget.create({ ratio: 0, window: 1_000, slack: 5 }, 0);
        expect([budget.takeRetry(5_000, 1), budget.takeRetry(5_001, 1)]).to.deep.equal([true, false]);
        expect(budget.takeRetry(6_200, 1)).to.equal(true);
    });
});

describe("SharedRetryBudget", () => {
    const rules = { ratio: 0.2, window: 10_000, slack: 422 };

    // Guards against requests that are refused for lack of a retry although most gateways haven't used any of their share: a
    // fifth of the engines crash, and of 191 gateways with a share of one retry in ten seconds each, some have three
    // requests at these engines and most have none.
    it("lends retries to the gateways that faults affect, when equal shares are one retry each", () => {
        const gatewayCount = 191;
        const gateways = Array.from({ length: gatewayCount }, () => ServiceRetryBudget.create(rules, -rules.window));
        const shared = SharedRetryBudget.create(rules, 0);
        let granted = 0;
        for (let number = 0; number < 100; number++) {
            const now = 20_000 + number * 20;
            const own = gateways[number * 7 % 40]!.takeRetry(now, gatewayCount);
            granted += own || shared.lend(now) ? 1 : 0;
        }
        expect(granted).to.equal(100);
    });

    it("stays within the allowance of every window together with the local shares of all gateways", () => {
        const gateways = Array.from(
            { length: 191 },
            () => ServiceRetryBudget.create({ ...rules, ratio: 0 }, -rules.window),
        );
        const shared = SharedRetryBudget.create(rules, 0);
        const taken: number[] = [];
        for (let now = 11_000; now < 40_000; now += 7) {
            const gateway = gateways[now % 191]!;
            if (gateway.takeRetry(now, 191) || shared.lend(now)) {
                taken.push(now);
            }
        }
        for (let start = 11_000; start < 30_000; start += 250) {
            const inWindow = taken.filter(at => at >= start && at < start + rules.window).length;
            expect(inWindow).to.be.at.most(rules.slack);
        }
    });

    // Guards against more retries in a window than the allowance: each leader lends everything and crashes.
    it("lends no more in a window after many elections than a single leader", () => {
        const leaders = Array.from({ length: 6 }, (_, number) => SharedRetryBudget.create(rules, number * 1_500));
        const lentBy = (leader: SharedRetryBudget, now: number): number => {
            return Array.from({ length: rules.slack }, () => leader.lend(now)).filter(lent => lent).length;
        };
        const old = lentBy(SharedRetryBudget.create(rules, -60_000), 0);
        const lent = leaders.map((leader, number) => lentBy(leader, (number + 1) * 1_500));
        expect(old + lent.reduce((sum, count) => sum + count, 0)).to.be.at.most(rules.slack * 0.7);
    });

    // Guards against more retries in one window than the allowance after a change of leader: the old leader lends everything in
    // its last second, gateways report what they borrowed with their next watch request, a second later, and the new leader
    // lends as much again meanwhile.
    it("stays within the allowance with two leaders, if the retries lent by the first aren't reported yet", () => {
        const gateways = Array.from(
            { length: 5 },
            () => ServiceRetryBudget.create({ ...rules, ratio: 0 }, -rules.window),
        );
        const previousLeader = SharedRetryBudget.create(rules, 0);
        const newLeader = SharedRetryBudget.create(rules, 50_000);
        let taken = 0;
        for (let now = 49_000; now < 51_000; now += 2) {
            const own = gateways[now / 2 % 5]!.takeRetry(now, 5);
            const lent = now < 50_000 ? previousLeader.lend(now) : newLeader.lend(now);
            taken += Number(own) + Number(lent);
        }
        expect(taken).to.be.at.most(rules.slack);
    });

    // Guards against retries being refused for ten seconds after a power loss of all directories, just when engines crash.
    it("lends retries from a leader's first second on", () => {
        const shared = SharedRetryBudget.create(rules, 50_000);
        const lent = Array.from({ length: 100 }, () => shared.lend(51_000));
        expect(lent.filter(granted => granted).length).to.be.above(10);
    });
});

describe("ServerChoice", () => {
    const servers = ["x", "y", "z"].map(id => announced({ id }));
    const none = new Set<string>();

    /**
     * Makes sequential calls of one gateway; `times` and `failing`: duration and failure ratio of each server's calls. Returns
     * each server's fraction of the calls.
     */
    function shares(times: readonly number[], failing: readonly number[], calls = 600): number[] {
        const choice = ServerChoice.create("a");
        const counts = [0, 0, 0];
        for (let call = 0; call < calls; call++) {
            const now = 1_000 + call * 30;
            const server = choice.choose(servers, none, now)!;
            const position = servers.indexOf(server);
            counts[position]! += 1;
            choice.recordStart(server.id);
            const failed = (counts[position]! * failing[position]!) % 1 + failing[position]! >= 1;
            choice.recordOutcome(server, failed ? "failed" : "answered", times[position]!, now + times[position]!);
        }
        return counts.map(count => count / calls);
    }

    it("sends few calls to a slow server", () => {
        expect(shares([20, 20, 100], [0, 0, 0])[2]).to.be.below(0.15);
    });

    it("sends few calls to a server that fails nearly half of them although its health checks pass", () => {
        expect(shares([20, 20, 20], [0, 0, 0.45])[2]).to.be.below(0.25);
    });

    it("doesn't avoid servers that all fail equally often", () => {
        Array.from(shares([20, 20, 20], [0.14, 0.14, 0.14])).forEach(share => expect(share).to.be.above(0.1));
    });

    it("sends no calls to an unreachable server for a while", () => {
        const choice = ServerChoice.create("a");
        choice.recordStart("x");
        choice.recordOutcome(servers[0]!, "unreachable", 400, 1_000);
        expect(choice.choose(servers, none, 1_100)?.id).not.to.equal("x");
        expect(choice.choose([servers[0]!], none, 1_100)?.id).to.equal("x");
    });

    it("spreads concurrent calls over the servers", () => {
        const choice = ServerChoice.create("a");
        const chosen = servers.map(() => {
            const server = choice.choose(servers, none, 1_000)!;
            choice.recordStart(server.id);
            return server.id;
        });
        expect(new Set(chosen).size).to.equal(3);
    });
});

describe("planStages", () => {
    it("changes engines of the largest failure domains until both stages have their share of the work", () => {
        const changes = planStages(engines(5, 8), rule);
        expect(changes.map(change => change.stage)).to.deep.equal(["decode", "decode"]);
        const remainingDomains = new Set(
            engines(5, 8).filter(engine => !changes.some(change => change.engine.id === engine.id))
                .filter(engine => engine.stage === "prefill").map(engine => engine.failureDomain),
        );
        expect([...remainingDomains].sort()).to.deep.equal(["a", "b", "c"]);
    });

    it("changes nothing if the stages are right, and makes one engine a prefill engine if there is none", () => {
        expect(planStages(engines(3, 10), rule)).to.deep.equal([]);
        expect(planStages(engines(0, 4), rule).map(change => change.stage)).to.deep.equal(["prefill"]);
        expect(planStages(engines(0, 1), rule)).to.deep.equal([]);
    });

    // Guards against one stage staying full while the other is idle: long prompts with short answers, or the reverse, on a
    // pool whose stages were planned for typical requests. The plan used constants only, and never added a prefill engine.
    it("follows the observed resources of requests", () => {
        const long = { prefillTime: 400, allocationTime: 2_000, cacheTokens: 12_000 };
        expect(planStages(engines(3, 10), rule, long).map(change => change.stage)).to.deep.equal([
            "prefill",
            "prefill",
        ]);
        const short = { prefillTime: 30, allocationTime: 4_000, cacheTokens: 3_000 };
        expect(planStages(engines(4, 9), rule, short).map(change => change.stage)).to.deep.equal([
            "decode",
            "decode",
            "decode",
        ]);
    });

    it("changes nothing if the stages are off by one engine, as the averages of a burst may suggest", () => {
        const slightly = { prefillTime: 130, allocationTime: 3_200, cacheTokens: 3_670 };
        expect(planStages(engines(3, 10), rule, slightly)).to.deep.equal([]);
        expect(planStages(engines(4, 9), rule, slightly)).to.deep.equal([]);
    });

    it("never takes the last decode engine", () => {
        const long = { prefillTime: 10_000, allocationTime: 100, cacheTokens: 1_000 };
        expect(planStages(engines(1, 2), rule, long).length).to.equal(1);
    });

    // Guards against a version of which one engine after the other is turned to prefill, until none can continue its streams.
    it("plans the engines of each software version by themselves", () => {
        const planned = (...versions: ReturnType<typeof enginesOfVersion>[]): string[] => {
            return planStages(versions.flat(), rule).map(({ engine, stage }) => `${engine.id} to ${stage}`);
        };
        expect(planned(enginesOfVersion("v1", 1, 0), enginesOfVersion("v2", 2, 6))).to.deep.equal([
            "v1-prefill-0 to decode",
        ]);
        expect(planned(enginesOfVersion("v1", 0, 2), enginesOfVersion("v2", 2, 6))).to.deep.equal([]);
        expect(planned(enginesOfVersion("v1", 3, 1))).to.deep.equal(
            planned(enginesOfVersion("v1", 3, 1), enginesOfVersion("v2", 2, 6)),
        );
    });
});
