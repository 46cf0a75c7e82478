import { expect } from "chai";
import { SeededRandomness } from "../../../packages/basilpaddle/src/node/utils/index.js";
import {
    calmDay,
    type Departure,
    type DepartureDay,
    type DepartureKind,
    departureKinds,
    randomDay,
    randomDayWithCuts,
} from "../day.js";
import { simulateDepartures } from "../departureSimulation.js";

const seed = 5;
const seeds = [seed, 1, 3];
const leavesAt = 5_000;
const randomDays = 12;
/** The directories of the server's heartbeats, of its leave call, and the third. */
const [home, called, third] = [0, 1, 2];

/** What happens beside the leaving of a server whose heartbeats go to one directory and whose call goes to another. */
const scenarios: Readonly<
    Record<string, Partial<DepartureDay> & { readonly lateHeartbeat?: Departure["lateHeartbeat"]; }>
> = {
    "nothing else happens": {},
    "the directory of its heartbeats is killed": { kills: [kill([home])] },
    "the directory that acknowledged is killed": { kills: [kill([called])] },
    "the third directory is killed": { kills: [kill([third])] },
    "a gateway is killed": { kills: [kill([], [0])] },
    "the directory that acknowledged and two gateways are killed": { kills: [kill([called], [0, 1])] },
    "the directory of its heartbeats and a gateway are killed": { kills: [kill([home], [0])] },
    "everything is killed": { kills: [kill([home, called, third], [0, 1, 2])] },
    "the directory of its heartbeats was down, and starts with two gateways": {
        kills: [{ at: leavesAt - 500, downFor: 1_600, directories: [home], gateways: [] }, {
            at: leavesAt + 1_000,
            downFor: 100,
            directories: [],
            gateways: [0, 1],
        }],
    },
    "a heartbeat that it sent before arrives at the directory of its heartbeats": {
        lateHeartbeat: { by: 3_000, directory: home },
    },
    "a heartbeat that it sent before arrives at the directory that acknowledged": {
        lateHeartbeat: { by: 1_000, directory: called },
    },
    "a heartbeat that it sent before arrives at the third directory": {
        lateHeartbeat: { by: 1_000, directory: third },
    },
    "all other servers fall silent": { silences: [{ server: 1, at: leavesAt }, { server: 2, at: leavesAt }] },
    "the directory of its heartbeats was cut off, and comes back as a gateway starts": {
        isolations: [{ at: leavesAt - 200, lasts: 2_700, directory: home }],
        kills: [{ at: leavesAt + 2_440, downFor: 60, directories: [], gateways: [0] }],
    },
    "the directory that acknowledged is cut off": {
        isolations: [{ at: leavesAt + 100, lasts: 6_000, directory: called }],
    },
};

function kill(directories: readonly number[], gateways: readonly number[] = []): DepartureDay["kills"][number] {
    return { at: leavesAt + 1_000, downFor: 1_200, directories, gateways };
}

async function lateChoices(kind: DepartureKind, name: string): Promise<readonly string[]> {
    const { lateHeartbeat, ...day } = scenarios[name]!;
    const departure = { server: home, kind, at: leavesAt, directory: called, ...lateHeartbeat && { lateHeartbeat } };
    const outcomes = await Promise.all(
        seeds.map(one => simulateDepartures({ ...calmDay, departures: [departure], ...day }, one)),
    );
    return outcomes.flatMap(({ late, unacknowledged }) => {
        return [...late, ...unacknowledged.map(id => `${id} wasn't acknowledged`)];
    });
}

// Guards against work for a backend server later than two seconds after a directory acknowledged that it leaves.
describe("a backend server that says that it leaves gets no more work", function() {
    this.timeout(60_000);
    for (const name of Object.keys(scenarios)) {
        it(`if ${name}`, async () => {
            const late = await Promise.all(departureKinds.map(async kind => [kind, await lateChoices(kind, name)]));
            expect(Object.fromEntries(late)).to.deep.equal({ leaveFirst: [], leaveFirstWithStart: [], draining: [] });
        });
    }

    it("on random days with directories that are cut off", async () => {
        for (let number = 1; number <= randomDays; number++) {
            const day = randomDayWithCuts(SeededRandomness.create(number));
            const { late, unacknowledged } = await simulateDepartures(day, number);
            expect({ seed: number, late, unacknowledged }).to.deep.equal({
                seed: number,
                late: [],
                unacknowledged: [],
            });
        }
    });

    it("on random days", async () => {
        for (let number = 1; number <= randomDays; number++) {
            const { late, unacknowledged } = await simulateDepartures(
                randomDay(SeededRandomness.create(number)),
                number,
            );
            expect({ seed: number, late, unacknowledged }).to.deep.equal({
                seed: number,
                late: [],
                unacknowledged: [],
            });
        }
    });
});

// Guards against an acknowledgement that is lost with the one directory that gave it.
it("a departure isn't acknowledged by a directory that reaches no other", async () => {
    const isolations = [home, third].map(directory => ({ at: leavesAt - 3_000, lasts: 20_000, directory }));
    const departures = [{ server: home, kind: "leaveFirst" as const, at: leavesAt, directory: called }];
    const { acknowledgeTimes, unacknowledged } = await simulateDepartures({ ...calmDay, departures, isolations }, seed);
    expect(acknowledgeTimes).to.deep.equal([]);
    expect(unacknowledged).to.deep.equal(["server-0@0"]);
}).timeout(60_000);

// Guards against a sound server that gets no work because a leave call of its previous incarnation arrived late.
it("a backend server that restarted gets work again after a late leave call of its previous incarnation", async () => {
    const day = {
        ...calmDay,
        length: 30_000,
        restarts: [{ server: 0, at: 4_000, leaveArrivesAfter: 2_000, directory: 1 }],
    };
    const { excluded } = await simulateDepartures(day, seed);
    expect(excluded).to.deep.equal([]);
}).timeout(60_000);
