import { expect } from "chai";
import type { PlacementRequest } from "../../../protocol/index.js";
import { effectivePriorities } from "../effectivePriorities.js";
import { PriorityOrder } from "../priorityOrder.js";
import { arrivingRequest, type WaitingRequest } from "../waitingRequest.js";
import { poolTraffic, route, typicalPlacementRequest } from "./fakes.js";

function waiting(attempt: string, overrides: Partial<PlacementRequest>): WaitingRequest {
    return arrivingRequest(typicalPlacementRequest(attempt, overrides), 0);
}

function attempts(order: PriorityOrder): string[] {
    return order.requests().map(({ request }) => request.attempt);
}

function orderOf(requests: readonly WaitingRequest[], floor = 0): PriorityOrder {
    const order = PriorityOrder.create(floor);
    requests.forEach(request => order.add(request));
    return order;
}

/** Places the first request of the queue, and returns its attempt. */
function placeFirst(order: PriorityOrder): string {
    const first = order.requests()[0]!;
    order.remove(first);
    order.recordPlaced(first);
    return first.request.attempt;
}

describe("the order of a queue by priority", () => {
    it("puts resumed streams first, then higher priorities, however short the targets of lower ones are", () => {
        const order = orderOf([
            waiting("low", { priority: 2, targetWithin: 100 }),
            waiting("high", { priority: 0, targetWithin: 5_000 }),
            waiting("resumed", { priority: 2, targetWithin: 5_000, resumed: true }),
        ]);
        expect(attempts(order)).to.deep.equal(["resumed", "high", "low"]);
    });

    // Guards against the highest priority waiting behind all others once it misses its target, which is the shortest one.
    it("keeps a request that misses its target ahead of lower priorities, behind the others of its own", () => {
        const late = waiting("late", { priority: 0, targetWithin: 100 });
        const order = orderOf([late, waiting("on time", { priority: 0 }), waiting("low", { priority: 1 })]);
        order.moveBack(late);
        expect(attempts(order)).to.deep.equal(["on time", "late", "low"]);
        expect(order.hasOnTimeRivals(late)).to.equal(true);
        placeFirst(order);
        expect(order.hasOnTimeRivals(late)).to.equal(false);
    });

    // Load: one organisation has 30 requests of a priority in the queue, two others have one and two.
    it("lets organisations take turns when one of them floods their priority", () => {
        const flood = Array.from({ length: 30 }, (_, number) => {
            return waiting(`flood-${number}`, { organisation: "a", targetWithin: 100 + number });
        });
        const order = orderOf([
            ...flood.reverse(),
            waiting("b-late", { organisation: "b", targetWithin: 900 }),
            waiting("b-soon", { organisation: "b", targetWithin: 800 }),
            waiting("c", { organisation: "c", targetWithin: 2_000 }),
        ]);
        const placed = Array.from({ length: 5 }, () => placeFirst(order));
        expect(placed).to.deep.equal(["flood-0", "b-soon", "c", "flood-1", "b-late"]);
    });

    // Load: 200 requests of each of three priorities wait. Guards against a lower priority that waits until it is refused.
    it("gives each priority that waits its share of any placements in a row, and the rest to the highest", () => {
        const order = orderOf(
            [0, 1, 2].flatMap(priority =>
                Array.from({ length: 200 }, (_, number) => waiting(`${priority}-${number}`, { priority }))
            ),
            0.1,
        );
        const forecast = attempts(order).slice(0, 200);
        const placed = Array.from({ length: 200 }, () => placeFirst(order));
        expect(placed).to.deep.equal(forecast);
        for (let start = 0; start + 40 <= placed.length; start++) {
            const counts = [0, 1, 2].map(priority => {
                return placed.slice(start, start + 40).filter(attempt => attempt.startsWith(`${priority}-`)).length;
            });
            expect(counts[0]).to.be.at.least(31);
            expect(counts[1]).to.be.at.least(4);
            expect(counts[2]).to.be.at.least(4);
        }
    });

    it("promises at most half of the placements to lower priorities, and none with a floor of 0", () => {
        const requests = [0, 1, 2, 3].flatMap(priority =>
            Array.from({ length: 40 }, (_, number) => waiting(`${priority}-${number}`, { priority }))
        );
        const share = (floor: number): number =>
            attempts(orderOf(requests, floor)).slice(0, 40).filter(attempt => attempt.startsWith("0-")).length;
        expect(share(0.5)).to.be.within(20, 22);
        expect(share(0)).to.equal(40);
    });
});

describe("the effective priorities of a service", () => {
    const routes = [route({ priority: 1, targets: [{ service: "pool", weight: 1 }] })];

    it("are those of its routes and those that organisations have of their own", () => {
        expect(effectivePriorities({ ...poolTraffic, routes }, "pool")).to.deep.equal([1]);
        const organisations = [{ name: "a", keys: [], priority: 0 }, { name: "b", keys: [] }];
        expect(effectivePriorities({ ...poolTraffic, routes, organisations }, "pool")).to.deep.equal([0, 1]);
        expect(effectivePriorities({ ...poolTraffic, routes, organisations }, "other")).to.deep.equal([]);
    });

    it("don't include the priority of a route that every organisation overrides, nor a route without weight", () => {
        const unused = route({ name: "u", priority: 4, targets: [{ service: "pool", weight: 0 }] });
        const organisations = [{ name: "a", keys: [], priority: 0 }];
        const traffic = { ...poolTraffic, routes: [...routes, unused], organisations };
        expect(effectivePriorities(traffic, "pool")).to.deep.equal([0]);
    });
});
