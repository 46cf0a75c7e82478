import { expect } from "chai";
import { Left, Right } from "purify-ts";
import { ManualClock } from "../../../../../../../simulation/manualClock.js";
import { maxReportedOrigins, type OriginReply, type StreamOrigin } from "../../../protocol/index.js";
import { createSilentLogger } from "../../../utils/index.js";
import { enginesOfVersion } from "../../gateway/__tests__/fakes.js";
import type { KnownDirectory } from "../../gateway/index.js";
import { OriginReporter } from "../originReporter.js";
import { resolveOrigin } from "../originResolver.js";
import { StreamOrigins } from "../streamOrigins.js";
import { VersionHistory, versionMemoryMilliseconds } from "../versionHistory.js";

const keepFor = 30_000;

function origin(attempt: string, version: string, binding = 1): StreamOrigin {
    return { service: "pool", attempt, version, binding, keepFor };
}

/** A directory that answers with this body; undefined for one that doesn't answer. */
function directory(body: unknown, received: unknown[] = []): KnownDirectory {
    const link = {
        request: async (sent: unknown) => {
            received.push(sent);
            return body === undefined ? Left({ kind: "timeout", message: "" }) : Right(body);
        },
    };
    return { name: `directory-${Math.random()}`, reached: body !== undefined, link } as unknown as KnownDirectory;
}

function reply(versions: string[], complete = true, found?: OriginReply["found"]): OriginReply {
    return { kind: "origin", versions, complete, ...found === undefined ? {} : { found } };
}

async function resolve(...replies: (OriginReply | undefined)[]) {
    const clock = new ManualClock();
    const query = { kind: "origin", service: "pool", attempt: "a", within: keepFor } as const;
    const resolved = resolveOrigin(replies.map(body => directory(body)), query, clock);
    await clock.advance(1_000);
    return resolved;
}

describe("the origins of streams", () => {
    it("are kept for as long as their callers may resume them, and longer once they have", () => {
        const origins = StreamOrigins.create();
        origins.record(origin("a", "v1"), 0);
        origins.record(origin("b", "v1"), 0);
        origins.record(origin("a", "v1"), keepFor - 1);
        expect(["a", "b"].map(attempt => origins.find("pool", attempt, keepFor)?.version)).to.deep.equal([
            "v1",
            undefined,
        ]);
        expect(origins.latest(5, keepFor)).to.deep.equal([{ ...origin("a", "v1"), keepFor: keepFor - 1 }]);
    });

    it("are those of the last binding, in whatever order they arrive", () => {
        const origins = StreamOrigins.create();
        [origin("a", "v2", 2), origin("a", "v1", 1)].forEach(one => origins.record(one, 0));
        expect(origins.find("pool", "a", 1)).to.deep.equal({ version: "v2", binding: 2, age: 1 });
        expect(origins.find("other pool", "a", 1)).to.equal(undefined);
    });

    it("are bounded in number: those that were recorded first are dropped", () => {
        const origins = StreamOrigins.create();
        for (let number = 0; number < 70_000; number++) {
            origins.record(origin(`a${number}`, "v1"), 0);
        }
        expect(origins.count()).to.equal(65_536);
        expect(origins.find("pool", "a69999", 1)).not.to.equal(undefined);
        expect(origins.find("pool", "a0", 1)).to.equal(undefined);
    });
});

describe("the version history of a service", () => {
    const engine = (softwareVersion: string) => enginesOfVersion(softwareVersion, 0, 1)[0]!;

    it("has versions that are gone for as long as a stream may last", () => {
        const history = VersionHistory.create(0);
        history.observe([engine("v1")], 0);
        history.observe([engine("v2")], 10_000);
        expect(history.versions("pool", keepFor, 30_000)).to.deep.equal(["v1", "v2"]);
        expect(history.versions("pool", keepFor, 31_000)).to.deep.equal(["v2"]);
    });

    it("is complete once it is as long as a stream may last, and stays so over a restart", () => {
        const history = VersionHistory.create(0);
        history.observe([engine("v1")], 20_000);
        expect([29_999, 30_000].map(now => history.covers(keepFor, now))).to.deep.equal([false, true]);
        const restarted = VersionHistory.create(0);
        restarted.restore(history.stored(30_000), 0);
        expect(restarted.covers(keepFor, 0)).to.equal(true);
        expect(restarted.versions("pool", keepFor, 0)).to.deep.equal(["v1"]);
    });

    // Guards against a stream that lasts longer than versions are remembered and is taken for one of the version that is left.
    it("is never complete for longer than it remembers versions", () => {
        const history = VersionHistory.create(Number.NEGATIVE_INFINITY);
        expect(history.covers(versionMemoryMilliseconds + 1, 0)).to.equal(false);
    });
});

describe("the version that began a stream", () => {
    it("is the one that any directory was told", async () => {
        const found = { version: "v1", binding: 1, age: 4 };
        expect(await resolve(undefined, undefined, reply(["v2"], false, found)))
            .to.deep.equal({ kind: "known", source: "directory", ...found });
    });

    it("is the only one that more than half of the directories have seen", async () => {
        expect(await resolve(undefined, reply(["v1"]), reply(["v1"]))).to.include({ kind: "known", version: "v1" });
    });

    // Guards against callers that wait at a gateway which is cut off, before they are sent to another one.
    it("isn't waited for where too few directories are reached", async () => {
        const clock = new ManualClock();
        const silent = { request: () => new Promise(() => undefined) };
        const unreached = [1, 2].map(
            name => ({ name: `${name}`, reached: false, link: silent } as unknown as KnownDirectory),
        );
        let origin: Awaited<ReturnType<typeof resolveOrigin>> | undefined;
        void resolveOrigin([...unreached, directory(reply(["v1"]))], {
            kind: "origin",
            service: "pool",
            within: keepFor,
        }, clock)
            .then(resolved => (origin = resolved));
        await clock.advance(100);
        expect(origin).to.include({ kind: "unknown", isReported: false });
    });

    // Guards against a version that is guessed: each case has a way in which another one may have begun the stream.
    for (
        const [why, replies] of [
            ["half of the directories answer", [undefined, undefined, reply(["v1"]), reply(["v1"])]],
            ["one of them has seen another version", [reply(["v1"]), reply(["v1", "v2"]), undefined]],
            ["they have seen different ones", [reply(["v1"]), reply(["v2"]), undefined]],
            ["they have been restarted and know only a part of the time", [
                reply(["v1"], false),
                reply(["v1"], false),
                reply(["v1"]),
            ]],
            ["no directory is known", []],
        ] as const
    ) {
        it(`isn't known if ${why}`, async () => {
            expect((await resolve(...replies)).kind).to.equal("unknown");
        });
    }
});

describe("a report of where a stream begins", () => {
    const noted = { kind: "noted" };

    async function isAcknowledged(binding: number, ...answers: readonly unknown[]): Promise<boolean> {
        const clock = new ManualClock();
        const directories = answers.map(body => directory(body));
        const reporter = OriginReporter.create({ directories: () => directories, clock, logger: createSilentLogger() });
        const acknowledged = reporter.report(origin("a", "v1", binding)).acknowledged(100);
        await clock.advance(200);
        reporter.close();
        return acknowledged;
    }

    it("is acknowledged by more than half of the directories, or by all if one may know an earlier binding", async () => {
        expect(await isAcknowledged(1, noted, noted, undefined)).to.equal(true);
        expect(await isAcknowledged(1, noted, undefined, undefined)).to.equal(false);
        expect(await isAcknowledged(2, noted, noted, undefined)).to.equal(false);
        expect(await isAcknowledged(2, noted, noted, noted)).to.equal(true);
    });

    // Guards against directories of an earlier release, which drop reports, being taken for ones that know the stream.
    it("isn't acknowledged by directories that don't know such reports", async () => {
        expect(await isAcknowledged(1, {}, {}, noted)).to.equal(false);
    });

    it("holds all that begin within a moment", async () => {
        const clock = new ManualClock();
        const received: unknown[] = [];
        const directories = [directory(noted, received)];
        const reporter = OriginReporter.create({ directories: () => directories, clock, logger: createSilentLogger() });
        ["a", "b"].forEach(attempt => reporter.report(origin(attempt, "v1")));
        await clock.advance(10);
        expect(received).to.deep.equal([{ kind: "origins", origins: [origin("a", "v1"), origin("b", "v1")] }]);
    });

    // Guards against streams that count as known though their report was cut to what one message holds.
    it("is divided if more begin than one message holds", async () => {
        const clock = new ManualClock();
        const received: unknown[] = [];
        const directories = [directory(noted, received)];
        const reporter = OriginReporter.create({ directories: () => directories, clock, logger: createSilentLogger() });
        Array.from({ length: maxReportedOrigins + 1 }, (_, number) => reporter.report(origin(`a${number}`, "v1")));
        await clock.advance(10);
        const sizes = received.map(report => (report as { readonly origins: unknown[]; }).origins.length);
        expect(sizes).to.deep.equal([maxReportedOrigins, 1]);
    });
});
