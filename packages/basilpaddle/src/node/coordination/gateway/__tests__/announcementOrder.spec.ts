import { expect } from "chai";
import * as fc from "fast-check";
import { departureStages, type ServerAnnouncement } from "../../../protocol/index.js";
import { joinAnnouncements } from "../announcementOrder.js";
import { Announcements, maxCallDelayMilliseconds } from "../announcements.js";
import { InstanceTable } from "../instanceTable.js";
import { announced } from "./fakes.js";

/** Announcements of one incarnation, as any directory may make them. */
const announcements = fc.record({
    state: fc.constantFrom("ready" as const, "draining" as const, "silent" as const, "left" as const),
    departure: fc.option(fc.constantFrom(...departureStages), { nil: undefined }),
    sequence: fc.integer({ min: 0, max: 4 }),
}).map(({ departure, ...fields }) => {
    return announced({ id: "i", ...fields, ...departure === undefined ? {} : { departure } });
});

function join(all: readonly ServerAnnouncement[]): ServerAnnouncement {
    return all.reduce((joined, one) => joinAnnouncements(one, joined), joinAnnouncements(all[0]!, all[0]!));
}

// Guards against daemons that come to different beliefs of one server, because announcements reach them in another order.
describe("announcements of one incarnation", () => {
    it("say the same together in any order and however often they arrive", () => {
        fc.assert(
            fc.property(
                fc.array(announcements, { minLength: 1, maxLength: 6 }),
                fc.infiniteStream(fc.nat()),
                (all, random) => {
                    const shuffled = [...all, ...all].map(one => ({ one, at: random.next().value as number }))
                        .sort((one, other) => one.at - other.at).map(({ one }) => one);
                    expect(join(shuffled)).to.deep.equal(join(all));
                },
            ),
            { seed: 1, numRuns: 2_000 },
        );
    });

    it("lead every daemon to the same table", () => {
        fc.assert(
            fc.property(fc.array(announcements, { minLength: 1, maxLength: 6 }), all => {
                const tables = [all, [...all].reverse()].map(order => {
                    const table = InstanceTable.create();
                    order.forEach(one => table.apply(one));
                    return table.all();
                });
                expect(tables[0]).to.deep.equal(tables[1]);
            }),
            { seed: 1, numRuns: 2_000 },
        );
    });

    it("never make a server that leaves ready again, except where its leave call is proved to be an older one", () => {
        const isLeavingForGood = ({ state, departure }: ServerAnnouncement): boolean => {
            return state === "left" || departure === "announced" || (state === "draining" && departure === undefined);
        };
        fc.assert(
            fc.property(fc.array(announcements, { minLength: 1, maxLength: 6 }), all => {
                const { state } = join(all);
                expect(state === "ready" && all.some(isLeavingForGood)).to.equal(false);
            }),
            { seed: 1, numRuns: 2_000 },
        );
    });
});

describe("a leave call that may be one of the previous incarnation", () => {
    const arriveAt = (time: number): readonly [boolean, string] => {
        const directory = Announcements.create(1_000);
        directory.apply(announced({ id: "i", sequence: 1 }), 0);
        directory.depart(directory.get("i")!, "suspected", 1_000);
        const isForwarded = directory.apply(announced({ id: "i", sequence: 2 }), time);
        return [isForwarded, directory.get("i")!.state];
    };

    it("isn't refuted by a heartbeat that may have been sent before it", () => {
        expect(arriveAt(1_000 + maxCallDelayMilliseconds - 1)).to.deep.equal([false, "draining"]);
    });

    it("is refuted by a heartbeat that must have been sent after it", () => {
        expect(arriveAt(1_000 + maxCallDelayMilliseconds)).to.deep.equal([true, "ready"]);
    });
});
