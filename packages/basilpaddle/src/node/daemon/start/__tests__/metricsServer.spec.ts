import { expect } from "chai";
import { QuarantinedRequests } from "../../../coordination/index.js";
import { quarantineRulesSchema } from "../../../protocol/index.js";
import { createSilentLogger, RecordedMetrics, SystemClock } from "../../../utils/index.js";
import { type Bounds, createLowBounds, expectBounded } from "../../__tests__/smallCrowd.js";
import { MetricsServer } from "../metricsServer.js";

describe("the server of metrics and quarantined requests", () => {
    let quarantine: QuarantinedRequests;
    let server: MetricsServer;
    let base: string;
    let bounds: Bounds;

    beforeEach(async () => {
        const clock = SystemClock.create();
        const logger = createSilentLogger();
        quarantine = QuarantinedRequests.create({
            rules: quarantineRulesSchema.parse({}),
            publishRecords: () => undefined,
            clock,
            logger,
        });
        ["s1", "s2"].forEach(id => quarantine.addCrash("d", { server: id, phase: "early", age: 0 }));
        const metrics = RecordedMetrics.create();
        quarantine.measure(metrics);
        bounds = createLowBounds();
        server = await MetricsServer.create({ host: "127.0.0.1", port: 0 }, metrics, quarantine, bounds);
        base = `http://127.0.0.1:${server.port()}`;
    });

    afterEach(() => server.close());

    async function release(body: string): Promise<readonly [number, unknown]> {
        const answer = await fetch(`${base}/operator/v1/release`, { method: "POST", body });
        return [answer.status, await answer.json()];
    }

    // Guards against callers of the metrics port that end a gateway or a directory by what they make it hold.
    it("bounds what unfinished bodies make it hold", async () => {
        await expectBounded(server.port(), bounds, { path: "/operator/v1/release", read: "/metrics" });
    });

    it("serves metrics, and answers 404 for unknown paths", async () => {
        expect(await (await fetch(`${base}/metrics`)).text()).to.contain("basilpaddle_requests_held_back 1");
        expect((await fetch(`${base}/elsewhere`)).status).to.equal(404);
    });

    it("lists the quarantined requests, and releases one", async () => {
        const listQuarantined = async (): Promise<unknown[]> => {
            const answer = await fetch(`${base}/operator/v1/held?timeout=1000`);
            return (await answer.json() as { requests: unknown[]; }).requests;
        };
        expect(await listQuarantined()).to.have.length(1);
        const body = JSON.stringify({ digest: "d", operator: "somebody" });
        expect(await release(body)).to.deep.equal([200, { kind: "released", digest: "d", wasSuspected: true }]);
        expect(await listQuarantined()).to.deep.equal([]);
        expect((await release(body))[1]).to.include({ wasSuspected: false });
    });

    it("rejects a malformed release with 400", async () => {
        for (const body of ["{", "{}", "{\"digest\":1,\"operator\":\"x\"}"]) {
            expect((await release(body))[0]).to.equal(400);
        }
        expect(quarantine.quarantined()).to.have.length(1);
    });
});
