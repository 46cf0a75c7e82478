import { expect } from "chai";
import { Right } from "purify-ts";
import { ManualClock } from "../../../../../../../simulation/manualClock.js";
import { enginesOfVersion } from "../../../coordination/gateway/__tests__/fakes.js";
import { establishedBeforeMilliseconds, type KnownDirectory } from "../../../coordination/index.js";
import type { OriginQuery, OriginReply, OriginReport } from "../../../protocol/index.js";
import { createSilentLogger, SilentMetrics } from "../../../utils/index.js";
import type { CallerRequest } from "../callerRequest.js";
import { StreamVersions } from "../streamVersions.js";

const timeout = 14_000;
/** Time for which somebody may look for the origin of a stream. */
const lookedForWithin = 2 * timeout + 2_000 + establishedBeforeMilliseconds;

function request(attempt: string): CallerRequest {
    return { attempt, route: { timeout, resumable: true }, metadata: { promptTokens: 1 } } as unknown as CallerRequest;
}

describe("the versions of a gateway's streams", () => {
    let clock: ManualClock;
    let reports: OriginReport[];
    let history: OriginReply;
    let versions: StreamVersions;
    const engine = (softwareVersion: string) => enginesOfVersion(softwareVersion, 0, 1)[0]!;

    beforeEach(() => {
        clock = new ManualClock();
        reports = [];
        history = { kind: "origin", versions: ["v1"], complete: false };
        const link = {
            request: async (message: OriginReport | OriginQuery) => {
                if (message.kind === "origin") {
                    return Right(history);
                }
                reports.push(message);
                return Right({ kind: "noted" });
            },
        };
        const directory = { name: "directory", reached: true, link } as unknown as KnownDirectory;
        versions = StreamVersions.create({
            directories: () => [directory],
            servers: () => [engine("v1")],
            clock,
            logger: createSilentLogger(),
            metrics: SilentMetrics.create(),
        });
        versions.observe(engine("v1"));
    });

    afterEach(() => versions.close());

    function reportedAttempts(): string[] {
        return reports.flatMap(({ origins }) => origins.map(({ attempt }) => attempt));
    }

    it("are reported after the gateway's start, until it knows all versions that streams may have begun at", async () => {
        versions.begin(request("early"), "pool", "v1", 1);
        await clock.advance(lookedForWithin);
        expect(versions.begin(request("late"), "pool", "v1", 1)).to.equal(undefined);
        await clock.advance(10);
        expect(reportedAttempts()).to.deep.equal(["early"]);
    });

    it("aren't reported if the directories know that there was only one", async () => {
        history = { ...history, complete: true };
        versions.observe(engine("v2"));
        await clock.advance(10);
        history = { ...history, versions: ["v1", "v2"] };
        expect([engine("v1"), engine("v2")].map(each => versions.isEstablished(each))).to.deep.equal([true, false]);
    });

    // Guards against streams that can't be resumed because a second version has appeared since they began.
    it("are reported with a service's second version, those under way as well", async () => {
        await clock.advance(lookedForWithin);
        versions.begin(request("before"), "pool", "v1", 1);
        versions.observe(engine("v2"));
        versions.begin(request("after"), "pool", "v2", 1);
        await clock.advance(10);
        expect(reportedAttempts()).to.have.members(["before", "after"]);
    });
});
