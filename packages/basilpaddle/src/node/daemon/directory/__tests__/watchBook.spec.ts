import { expect } from "chai";
import { ManualClock } from "../../../../../../../simulation/manualClock.js";
import { announced } from "../../../coordination/gateway/__tests__/fakes.js";
import { Announcements, HeldRequests } from "../../../coordination/index.js";
import { holdRulesSchema } from "../../../protocol/index.js";
import { createSilentLogger } from "../../../utils/index.js";
import { WatchBook } from "../watchBook.js";

function watched(gatewaysBefore: number, clock: ManualClock): WatchBook {
    return bookOf(gatewaysBefore, clock, Announcements.create(1_000));
}

function heldAt(clock: ManualClock): HeldRequests {
    return HeldRequests.create({
        rules: holdRulesSchema.parse({}),
        tell: () => undefined,
        clock,
        logger: createSilentLogger(),
    });
}

function bookOf(
    gatewaysBefore: number,
    clock: ManualClock,
    announcements: Announcements,
    held = heldAt(clock),
): WatchBook {
    return WatchBook.create({
        incarnation: "one",
        failureDomain: "a",
        announcements,
        held,
        document: () => ({ version: 1, content: "{}" }),
        members: () => ({ members: [], leader: undefined }),
        ejected: () => [],
        gatewaysBefore,
        clock,
    });
}

async function counted(book: WatchBook): Promise<{ readonly gateways: number; readonly settled: boolean; }> {
    const watch = {
        kind: "watch",
        gateway: "g",
        version: -1,
        incarnation: "",
        cursor: 0,
        wantsDocument: false,
    } as const;
    const { gateways, gatewaysSettled = false } = await book.watch({ ...watch, observer: false });
    return { gateways, settled: gatewaysSettled };
}

// Symptom: in the seconds after a loss of power everywhere requests are refused for want of repeats.
// Sequence: directories start again, and count the gateways that have come so far; nobody can trust that.
describe("the count of gateways after a restart", () => {
    it("is the one from before until all have had the time to come", async () => {
        const clock = new ManualClock();
        const book = watched(9, clock);
        expect(await counted(book)).to.deep.equal({ gateways: 9, settled: true });
        clock.freeze(10_000);
        expect(await counted(book)).to.deep.equal({ gateways: 1, settled: true });
    });

    it("isn't to be trusted at first where nobody remembers any", async () => {
        const clock = new ManualClock();
        const book = watched(0, clock);
        expect(await counted(book)).to.deep.equal({ gateways: 1, settled: false });
        clock.freeze(10_000);
        expect(await counted(book)).to.deep.equal({ gateways: 1, settled: true });
    });
});

// Symptom: for ten seconds after all directories were lost repeats are refused, just when engines crash.
// Sequence: a new leader doesn't know what the one before has lent; the gateways that borrowed it have lived on.
describe("what gateways have borrowed", () => {
    const watch = {
        kind: "watch",
        version: -1,
        incarnation: "",
        cursor: 0,
        wantsDocument: false,
        observer: false,
    } as const;

    it("is known once as many gateways have told as there were before", async () => {
        const book = watched(2, new ManualClock());
        await book.watch({ ...watch, gateway: "g", borrowed: [{ service: "s", count: 3 }] });
        expect(book.borrowed("s")).to.equal(undefined);
        await book.watch({
            ...watch,
            gateway: "h",
            borrowed: [{ service: "s", count: 4 }, { service: "t", count: 1 }],
        });
        expect(book.borrowed("s")).to.equal(7);
        expect(book.borrowed("u")).to.equal(0);
    });

    it("isn't known where nobody remembers how many gateways there are, until all have had the time to come", async () => {
        const clock = new ManualClock();
        const book = watched(0, clock);
        await book.watch({ ...watch, gateway: "g" });
        expect(book.borrowed("s")).to.equal(undefined);
        clock.freeze(10_000);
        await book.watch({ ...watch, gateway: "g" });
        expect(book.borrowed("s")).to.equal(0);
    });
});

// Symptom: after all processes were killed nothing is served for half a minute, with a thousand backend servers.
// Sequence: directories come back with what they remember; the first heartbeat of each server is news; each piece of news
// wakes the watches of all gateways, and each of these is answered.
// Cause: the answers grew with servers times gateways, and left no time for anything else.
describe("watches of many gateways", () => {
    it("are answered a few times a second, however many servers are heard of, and at once when one is", async () => {
        const clock = new ManualClock();
        const announcements = Announcements.create(1_000);
        const book = bookOf(0, clock, announcements);
        const answers = countAnswers(book, clock, 40, 0);
        await clock.pass(10);
        answers.count = 0;
        await announceOften(book, announcements, clock, 60, 10);
        expect(answers.count).to.be.at.most(40 * 8);
        expect(answers.count).to.be.at.least(40 * 2);
        await clock.pass(300);
        answers.count = 0;
        const before = clock.monotonic();
        announcements.take(announced({ id: "single" }), before);
        book.changed();
        await clock.pass(0);
        expect(answers.count).to.equal(40);
        expect(answers.lastAt).to.equal(before);
    });

    // Sequence: words come faster than an answer travels, so that each gateway that comes back finds the next one there.
    it("aren't answered more often where they come back to more news than where they wait for it", async () => {
        const clock = new ManualClock();
        const announcements = Announcements.create(1_000);
        const book = bookOf(0, clock, announcements);
        const answers = countAnswers(book, clock, 40, 2);
        await clock.pass(10);
        answers.count = 0;
        await announceOften(book, announcements, clock, 600, 1);
        expect(answers.count).to.be.at.most(40 * 8);
        expect(answers.count).to.be.at.least(40 * 2);
    });

    // Symptom: requests are sent to a backend server that has left, or refused for want of one that is there, for up to
    // 0.1 s in a deployment of a few hosts. Cause: few gateways waited as long for news as hundreds have to.
    it("are answered nearly at once where they are few", async () => {
        const clock = new ManualClock();
        const announcements = Announcements.create(1_000);
        const book = bookOf(0, clock, announcements);
        const answers = countAnswers(book, clock, 2, 0);
        await clock.pass(10);
        answers.count = 0;
        await announceOften(book, announcements, clock, 60, 10);
        expect(answers.count).to.equal(2 * 60);
    });

    it("are answered at once for a gateway that has just started again", async () => {
        const clock = new ManualClock();
        const announcements = Announcements.create(1_000);
        const book = bookOf(0, clock, announcements);
        countAnswers(book, clock, 40, 0);
        await clock.pass(10);
        announcements.take(announced({ id: "new" }), clock.monotonic());
        book.changed();
        await clock.pass(1);
        const again = { kind: "watch", gateway: "g-1", version: -1, incarnation: "", cursor: 0 } as const;
        const { announced: told } = await book.watch({ ...again, wantsDocument: false, observer: false });
        expect(told.map(({ id }) => id)).to.deep.equal(["new"]);
    });
});

type CountedAnswers = { count: number; lastAt: number; };

/** Has gateways watch again and again; counts the answers. `delay`: milliseconds from an answer to the next watch. */
function countAnswers(book: WatchBook, clock: ManualClock, gateways: number, delay: number): CountedAnswers {
    const answers = { count: 0, lastAt: 0 };
    const follow = async (gateway: string): Promise<void> => {
        for (let cursor = 0, incarnation = ""; clock.monotonic() < 3_000;) {
            const given = { kind: "watch", gateway, version: 1, incarnation, cursor, wantsDocument: false } as const;
            ({ cursor, incarnation } = await book.watch({ ...given, observer: false }));
            answers.count += 1;
            answers.lastAt = clock.monotonic();
            if (delay > 0) {
                await new Promise<void>(resolve => clock.after(delay, resolve));
            }
        }
    };
    Array.from({ length: gateways }, (_, number) => void follow(`g-${number}`));
    return answers;
}

/** Announces backend servers one after the other, `gap` milliseconds apart. */
async function announceOften(
    book: WatchBook,
    announcements: Announcements,
    clock: ManualClock,
    count: number,
    gap: number,
): Promise<void> {
    for (let number = 0; number < count; number++) {
        announcements.take(announced({ id: `i-${number}` }), clock.monotonic());
        book.changed();
        await clock.pass(gap);
    }
}

describe("what watchers hear of requests under which backend servers ended", () => {
    it("comes once two servers ended, only what they lack, and all of it to one that starts anew", async () => {
        const clock = new ManualClock();
        const held = heldAt(clock);
        const book = bookOf(1, clock, Announcements.create(1_000), held);
        const watch = {
            kind: "watch",
            gateway: "g",
            version: 1,
            cursor: 0,
            wantsDocument: false,
            observer: false,
        } as const;
        held.note("single", { server: "s1", phase: "early", age: 0 });
        held.note("both", { server: "s1", phase: "early", age: 0 });
        held.note("both", { server: "s2", phase: "early", age: 0 });
        const first = await book.watch({ ...watch, incarnation: "" });
        expect(first.crashes?.map(({ digest }) => digest)).to.deep.equal(["both"]);
        held.note("both", { server: "s3", phase: "early", age: 0 });
        const next = await book.watch({ ...watch, incarnation: "one", crashCursor: first.crashCursor });
        expect(next.crashes?.[0]?.crashes).to.have.length(3);
        const later = book.watch({ ...watch, incarnation: "one", crashCursor: next.crashCursor });
        await clock.pass(1_200);
        expect((await later).crashes).to.equal(undefined);
    });
});
