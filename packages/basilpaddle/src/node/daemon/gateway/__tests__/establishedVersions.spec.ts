import { expect } from "chai";
import fc from "fast-check";
import { dayOfSize } from "../../../../../../../simulation/versions/day.js";
import { VersionProcesses } from "../../../../../../../simulation/versions/versionProcesses.js";
import { type EmulatedProcess, World } from "../../../../../../../simulation/versions/world.js";

const count = 3;
/** Milliseconds for which a stream may be resumed. */
const streamMilliseconds = 28_000;
const step = (kind: "begin" | "resume" | "split" | "heal" | "join" | "leave" | "restart" | "loseDisk" | "wait") =>
    fc.record({
        kind: fc.constant(kind),
        /** A gateway, or a directory. */
        at: fc.nat({ max: count - 1 }),
        /** Number of a version, of a stream counted from the last one, or which processes a step is for. */
        pick: fc.nat({ max: 7 }),
        time: fc.oneof({ weight: 4, arbitrary: fc.nat({ max: 1_000 }) }, {
            weight: 1,
            arbitrary: fc.nat({ max: 5_000 }),
        }),
    });
const steps = fc.array(
    fc.oneof(
        ...(["begin", "begin", "resume", "resume", "split", "split", "join", "join", "wait", "wait"] as const).map(
            step,
        ),
        ...(["heal", "leave", "restart", "loseDisk"] as const).map(step),
    ),
    { minLength: 20, maxLength: 60 },
);
type Step = ReturnType<typeof step> extends fc.Arbitrary<infer S> ? S : never;

/** Plays steps; returns the first stream that would go on at another version than it began at. */
async function play(run: readonly Step[]): Promise<string | undefined> {
    const world = World.create({ ...dayOfSize(count, "split"), directories: count }, 1);
    const { clock, gateways, directories, processes } = world;
    const known = VersionProcesses.create(world);
    const streams: { attempt: string; version: string; begunAt: number; }[] = [];
    const chosen = (of: readonly EmulatedProcess[], pick: number): EmulatedProcess[] =>
        of.filter((_, index) => pick & 1 << index);
    await clock.advance(1_000);
    for (const { kind, at, pick, time } of run) {
        const gateway = gateways[at]!;
        if (kind === "begin") {
            const established = world.versionsAt(gateway).filter(version => known.isEstablished(gateway, version));
            const version = established[pick % established.length];
            if (version !== undefined) {
                streams.push({ attempt: `a${streams.length}`, version, begunAt: clock.monotonic() });
                void known.begin(gateway, streams.at(-1)!.attempt, version);
            }
            await clock.advance(10);
        }
        else if (kind === "resume") {
            const stream = streams.at(-1 - pick % 3);
            if (stream !== undefined && clock.monotonic() - stream.begunAt <= streamMilliseconds) {
                const resolved = known.resolve(gateway, stream.attempt);
                await clock.advance(500);
                const origin = await resolved;
                if (origin.kind === "known" && origin.version !== stream.version) {
                    known.close();
                    return `${stream.attempt} of ${stream.version} goes on at ${origin.version} (${origin.source})`;
                }
            }
        }
        else if (kind === "split") {
            world.split([...chosen(gateways, pick), directories[at]!]);
        }
        else if (kind === "heal") {
            world.heal();
        }
        else if (kind === "join") {
            world.join(
                `v${1 + pick % 3}`,
                processes.filter(one => world.splitFor(one, directories[at]!) === undefined),
            );
        }
        else if (kind === "leave") {
            world.leave(`v${1 + pick % 3}`, [processes[(at + pick) % processes.length]!]);
        }
        else if (kind === "restart" || kind === "loseDisk") {
            known.restart(processes[(at + pick) % processes.length]!, kind === "loseDisk");
        }
        known.review();
        await clock.advance(kind === "wait" ? time : 50);
    }
    known.close();
    return undefined;
}

/** A step of an example; without further arguments for the first gateway and directory. */
const plays = (kind: Step["kind"], pick = 0, at = 0, time = 0): Step => ({ kind, at, pick, time });
const firstApart = plays("split", 1);
const resumedElsewhere = [firstApart, plays("resume", 0, 1)];
/** Runs that are rarely found: which directories know the version at which a stream begins. */
const rareRuns: Step[][] = [
    // One of three.
    [firstApart, plays("join", 1), plays("begin", 1), ...resumedElsewhere],
    // Two of three, and one of these restarts.
    [
        plays("split", 4, 2),
        plays("join", 1),
        plays("begin", 1),
        plays("leave", 4, 0),
        plays("restart", 3, 1),
        ...resumedElsewhere,
    ],
    // All, but two of them for the last time long before.
    [
        plays("join", 1),
        plays("wait", 0, 0, 1_000),
        ...[plays("leave", 1, 0), plays("leave", 1, 1), plays("leave", 4, 0), plays("leave", 4, 1)],
        firstApart,
        plays("wait", 0, 0, 50_000),
        plays("begin", 1),
        ...resumedElsewhere,
    ],
];

describe("the versions at which streams may begin", function() {
    this.timeout(60_000);

    // Guards against a stream that began at a version which more than half of the directories have never heard of.
    it("are never mistaken for one another, whoever is out of step or restarts while versions join and leave", async () => {
        await fc.assert(
            fc.asyncProperty(steps, async run => {
                expect(await play(run)).to.equal(undefined);
            }),
            { seed: 1, numRuns: 40, examples: rareRuns.map(run => [run] as [Step[]]) },
        );
    });
});
