import { expect } from "chai";
import { type Logger, SilentMetrics } from "../../../utils/index.js";
import { logRequest } from "../logRequest.js";
import { createRequest } from "./fakeRequest.js";

describe("the line of a request", () => {
    // Guards against answers that are broken off and that no line names, where many requests end at once.
    it("has another one beside it if its answer was broken off", () => {
        const lines: string[] = [];
        const record = (message: string): number => lines.push(message);
        const logger = { info: record, warn: record } as unknown as Logger;
        const broken = createRequest({});
        Object.assign(broken.incoming, { httpVersionMajor: 1, httpVersionMinor: 1 });
        broken.beginStream({ status: 200, rawHeaders: [] });
        broken.fail(502, "the engine ended");
        const refused = createRequest({});
        refused.refuse(10, "no room");
        [broken, refused].forEach(request => logRequest({ logger, metrics: SilentMetrics.create() }, request, [], 1));
        expect(lines).to.deep.equal(["an answer was broken off", "request", "request"]);
    });
});
