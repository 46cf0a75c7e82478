import { expect } from "chai";
import { HeldRequests } from "../../../coordination/index.js";
import { holdRulesSchema } from "../../../protocol/index.js";
import { createSilentLogger, RecordedMetrics, SystemClock } from "../../../utils/index.js";
import { MetricsServer } from "../metricsServer.js";

describe("the server of metrics and held requests", () => {
    let quarantinedRequests: HeldRequests;
    let server: MetricsServer;
    let base: string;

    beforeEach(async () => {
        const clock = SystemClock.create();
        const logger = createSilentLogger();
        quarantinedRequests = HeldRequests.create({
            rules: holdRulesSchema.parse({}),
            tell: () => undefined,
            clock,
            logger,
        });
        ["s1", "s2"].forEach(id => quarantinedRequests.note("d", { server: id, phase: "early", age: 0 }));
        const metrics = RecordedMetrics.create();
        quarantinedRequests.measure(metrics);
        server = await MetricsServer.create({ host: "127.0.0.1", port: 0 }, metrics, quarantinedRequests);
        base = `http://127.0.0.1:${server.port()}`;
    });

    afterEach(() => server.close());

    async function release(body: string): Promise<readonly [number, unknown]> {
        const answer = await fetch(`${base}/operator/v1/release`, { method: "POST", body });
        return [answer.status, await answer.json()];
    }

    it("serves metrics, and nothing where it knows nothing", async () => {
        expect(await (await fetch(`${base}/metrics`)).text()).to.contain("basilpaddle_requests_held_back 1");
        expect((await fetch(`${base}/elsewhere`)).status).to.equal(404);
    });

    it("lists the requests that are held back, and releases one", async () => {
        const listed = async (): Promise<unknown[]> => {
            const answer = await fetch(`${base}/operator/v1/held?timeout=1000`);
            return (await answer.json() as { requests: unknown[]; }).requests;
        };
        expect(await listed()).to.have.length(1);
        const body = JSON.stringify({ digest: "d", operator: "somebody" });
        expect(await release(body)).to.deep.equal([200, { kind: "released", digest: "d", wasSuspected: true }]);
        expect(await listed()).to.deep.equal([]);
        expect((await release(body))[1]).to.include({ wasSuspected: false });
    });

    it("refuses a release that isn't in form", async () => {
        for (const body of ["{", "{}", "{\"digest\":1,\"operator\":\"x\"}"]) {
            expect((await release(body))[0]).to.equal(400);
        }
        expect(quarantinedRequests.held()).to.have.length(1);
    });
});
