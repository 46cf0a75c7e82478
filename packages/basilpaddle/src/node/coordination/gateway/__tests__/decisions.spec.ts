import { expect } from "chai";
import { checkTraffic, trafficSchema } from "../../../protocol/index.js";
import { RepeatBudget, SharedRepeatBudget } from "../repeatBudget.js";
import { RouteTable } from "../routeTable.js";
import { ServerChoice } from "../serverChoice.js";
import { planStages } from "../stagePlan.js";
import { announced, engines, route, rule } from "./fakes.js";

const limits = { headerBytes: 1_000, bodyBytes: 1_000, headerTimeout: 1_000, idleTimeout: 1_000 };
const services = [
    { name: "s", healthPath: "/", connectionLimit: 10 },
    { name: "t", healthPath: "/", connectionLimit: 10 },
];

describe("the route table", () => {
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

    it("takes the longest prefix of the host, without its port and in any case", () => {
        expect(table.match("H.example:80", "/a/b/c?x=/")?.name).to.equal("long");
        expect(table.match("h.example", "/a/c")?.name).to.equal("short");
        expect(table.match("h.example", "/a")?.name).to.equal(undefined);
        expect(table.match("x.example", "/a/b/c")).to.equal(undefined);
    });

    it("splits by weight, the same way for the same identifier", () => {
        const split = table.match("other.example", "/")!;
        const drawn = Array.from({ length: 2_000 }, (_, number) => table.serviceOf(split, `id-${number}`)?.name);
        const part = drawn.filter(name => name === "t").length / drawn.length;
        expect(part).to.be.within(0.07, 0.13);
        expect(table.serviceOf(split, "id-7")?.name).to.equal(drawn[7]);
    });
});

describe("a configuration", () => {
    it("is refused with all that is wrong between its parts", () => {
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
        const wrong = { version: 1, routes: [{ ...route({}), timeout: 0 }], services, limits };
        expect(trafficSchema.safeParse(wrong).success).to.equal(false);
    });
});

describe("the budget for repeats", () => {
    it("stays, over all gateways, within the ratio and the slack of every window", () => {
        const rules = { ratio: 0.2, window: 10_000, slack: 50 };
        const gateways = Array.from({ length: 8 }, () => RepeatBudget.create(rules));
        const taken: number[] = [];
        let requests = 0;
        for (let now = 10_000; now < 40_000; now += 10) {
            const gateway = gateways[(now / 10) % 8]!;
            gateway.request(now);
            requests += 1;
            for (let again = 0; again < 3; again++) {
                if (gateway.take(now, 8)) {
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

    it("takes back a repeat that reached no server", () => {
        const budget = RepeatBudget.create({ ratio: 0, window: 1_000, slack: 2 });
        expect([budget.take(5_000, 1), budget.take(5_001, 1)]).to.deep.equal([true, false]);
        budget.giveBack(5_002);
        expect(budget.take(5_003, 1)).to.equal(true);
    });

    it("forgets what is older than the window", () => {
        const budget = RepeatBudget.create({ ratio: 0, window: 1_000, slack: 2 });
        expect([budget.take(5_000, 1), budget.take(5_001, 1)]).to.deep.equal([true, false]);
        expect(budget.take(6_200, 1)).to.equal(true);
    });
});

describe("what the leader lends of the allowance for repeats", () => {
    const rules = { ratio: 0.2, window: 10_000, slack: 422 };

    // Symptom: requests are turned away for want of a repeat though most gateways haven't spent any of their part.
    // Sequence: a fifth of the engines crash; of 191 gateways, each with a part of one repeat in ten seconds, some have
    // three requests there and most have none.
    // Cause: equal parts of what all share, however few each of them is.
    it("serves the gateways that faults hit, where equal parts are a repeat each", () => {
        const sharers = 191;
        const gateways = Array.from({ length: sharers }, () => RepeatBudget.create(rules));
        const shared = SharedRepeatBudget.create(rules, 0);
        let alone = 0;
        let lent = 0;
        for (let number = 0; number < 100; number++) {
            const now = 20_000 + number * 20;
            const own = gateways[number * 7 % 40]!.take(now, sharers);
            alone += own ? 1 : 0;
            lent += !own && shared.lend(now, undefined) ? 1 : 0;
        }
        expect(alone).to.equal(40);
        expect(alone + lent).to.equal(100);
    });

    it("stays with all gateways' own parts within the allowance of every window", () => {
        const gateways = Array.from({ length: 191 }, () => RepeatBudget.create({ ...rules, ratio: 0 }));
        const shared = SharedRepeatBudget.create(rules, 0);
        const taken: number[] = [];
        for (let now = 11_000; now < 40_000; now += 7) {
            const gateway = gateways[now % 191]!;
            if (gateway.take(now, 191) || shared.lend(now, undefined)) {
                taken.push(now);
            }
        }
        for (let start = 11_000; start < 30_000; start += 250) {
            const inWindow = taken.filter(at => at >= start && at < start + rules.window).length;
            expect(inWindow).to.be.at.most(rules.slack);
        }
    });

    // Sequence: a leader lends all, and dies; the next one would lend the same again within the window.
    it("is nothing in a leader's first window", () => {
        const shared = SharedRepeatBudget.create(rules, 50_000);
        expect(shared.lend(59_900, undefined)).to.equal(false);
        expect(shared.lend(60_100, undefined)).to.equal(true);
    });

    // Symptom: more repeats in one window than the allowance holds, around a change of leader.
    // Sequence: the old leader lends all it may, in the second before it loses the leadership; gateways tell what they
    // borrowed with their next watch, a second later; the new leader lends as much again meanwhile.
    it("stays within the allowance with two leaders, one of which nobody has told of yet", () => {
        const sharers = Array.from({ length: 5 }, () => RepeatBudget.create({ ...rules, ratio: 0 }));
        const before = SharedRepeatBudget.create(rules, 0);
        const after = SharedRepeatBudget.create(rules, 50_000);
        let taken = 0;
        for (let now = 49_000; now < 51_000; now += 2) {
            const own = sharers[now / 2 % 5]!.take(now, 5);
            const lent = now < 50_000 ? before.lend(now, undefined) : after.lend(now, 0);
            taken += Number(own) + Number(lent);
        }
        expect(taken).to.be.at.most(rules.slack);
    });

    // Symptom: after all directories lost power, repeats are refused for ten seconds, just when engines crash.
    // Cause: the new leader didn't ask the gateways, which had lived on, what they had borrowed.
    it("is what gateways haven't borrowed from the leader before, once all have told", () => {
        const shared = SharedRepeatBudget.create(rules, 50_000);
        expect(shared.lend(50_500, undefined)).to.equal(false);
        const lent = Array.from({ length: 100 }, (_, number) => shared.lend(51_000, 20 + number));
        expect(lent.filter(granted => granted).length).to.equal(22);
    });
});

describe("the choice among servers", () => {
    const servers = ["x", "y", "z"].map(id => announced({ id }));
    const none = new Set<string>();

    /** Calls of a gateway, one after the other; each server takes its time and fails its part of them. */
    function shares(times: readonly number[], failing: readonly number[], calls = 600): number[] {
        const choice = ServerChoice.create("a");
        const counts = [0, 0, 0];
        for (let call = 0; call < calls; call++) {
            const now = 1_000 + call * 30;
            const server = choice.choose(servers, none, now)!;
            const position = servers.indexOf(server);
            counts[position]! += 1;
            choice.began(server.id);
            const failed = (counts[position]! * failing[position]!) % 1 + failing[position]! >= 1;
            choice.ended(server, failed ? "failed" : "answered", times[position]!, now + times[position]!);
        }
        return counts.map(count => count / calls);
    }

    it("gives a slow server little", () => {
        expect(shares([20, 20, 100], [0, 0, 0])[2]).to.be.below(0.15);
    });

    it("gives a server that fails nearly half of its calls little, though its health is good", () => {
        expect(shares([20, 20, 20], [0, 0, 0.45])[2]).to.be.below(0.25);
    });

    it("doesn't shun servers that all fail alike", () => {
        Array.from(shares([20, 20, 20], [0.14, 0.14, 0.14])).forEach(share => expect(share).to.be.above(0.1));
    });

    it("gives none to a server that can't be reached, for a while", () => {
        const choice = ServerChoice.create("a");
        choice.began("x");
        choice.ended(servers[0]!, "unreachable", 400, 1_000);
        expect(choice.choose(servers, none, 1_100)?.id).not.to.equal("x");
        expect(choice.choose([servers[0]!], none, 1_100)?.id).to.equal("x");
    });

    it("spreads open calls", () => {
        const choice = ServerChoice.create("a");
        const chosen = servers.map(() => {
            const server = choice.choose(servers, none, 1_000)!;
            choice.began(server.id);
            return server.id;
        });
        expect(new Set(chosen).size).to.equal(3);
    });
});

describe("the plan of stages", () => {
    it("turns engines until both stages have their part of the work, from the fullest failure domains", () => {
        const changes = planStages(engines(5, 8), rule);
        expect(changes.map(change => change.stage)).to.deep.equal(["decode", "decode"]);
        const left = new Set(
            engines(5, 8).filter(engine => !changes.some(change => change.engine.id === engine.id))
                .filter(engine => engine.stage === "prefill").map(engine => engine.failureDomain),
        );
        expect([...left].sort()).to.deep.equal(["a", "b", "c"]);
    });

    it("changes nothing that is right, and makes one engine read prompts where none does", () => {
        expect(planStages(engines(3, 10), rule)).to.deep.equal([]);
        expect(planStages(engines(0, 4), rule).map(change => change.stage)).to.deep.equal(["prefill"]);
        expect(planStages(engines(0, 1), rule)).to.deep.equal([]);
    });

    // Load pattern: long prompts with short answers, and the other way round, on a pool whose stages were planned for usual
    // requests. Symptom: one stage is full while the other stands idle, for as long as the pool lives.
    // Cause: the plan went by constants, and a pool never got a prefill engine back.
    it("follows what requests were seen to take of the pool", () => {
        const long = { readingTime: 400, holdTime: 2_000, cacheTokens: 12_000 };
        expect(planStages(engines(3, 10), rule, long).map(change => change.stage)).to.deep.equal([
            "prefill",
            "prefill",
        ]);
        const short = { readingTime: 30, holdTime: 4_000, cacheTokens: 3_000 };
        expect(planStages(engines(4, 9), rule, short).map(change => change.stage)).to.deep.equal([
            "decode",
            "decode",
            "decode",
        ]);
    });

    it("leaves stages alone that are off by an engine, as means of a burst may say", () => {
        const slightly = { readingTime: 130, holdTime: 3_200, cacheTokens: 3_670 };
        expect(planStages(engines(3, 10), rule, slightly)).to.deep.equal([]);
        expect(planStages(engines(4, 9), rule, slightly)).to.deep.equal([]);
    });

    it("never takes the last decode engine", () => {
        const long = { readingTime: 10_000, holdTime: 100, cacheTokens: 1_000 };
        expect(planStages(engines(1, 2), rule, long).length).to.equal(1);
    });
});
