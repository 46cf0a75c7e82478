import { expect } from "chai";
import * as http from "node:http";
import * as net from "node:net";
import { OpenRequests } from "../openRequests.js";
import { createRequest } from "./fakeRequest.js";

describe("open requests", () => {
    // Guards against a stop whose log tells neither which requests it cut nor how far they were.
    it("are remembered by their attempts, with how far they were, how they ended, and whether they were answered", () => {
        const requests = OpenRequests.create();
        const responses = ["reading", "waiting", "running", "delivered"].map((attempt, index) => {
            const response = new http.ServerResponse(new http.IncomingMessage(new net.Socket()));
            requests.add(response, attempt, index);
            return response;
        });
        const [waiting, running] = [createRequest({}), createRequest({})];
        running.recordSend(true);
        requests.recordWhole(responses[1]!, waiting);
        requests.recordWhole(responses[2]!, running);
        responses[3]!.emit("close");
        const lastRequests = requests.remember(10);
        requests.refuseUnread();
        requests.forEachWhole(request => request.endEarly(10, "the gateway shut down"));
        expect(lastRequests().map(last => ({ ...last, route: "" }))).to.deep.equal([
            { request: "reading", route: "", phase: "reading", age: 10, end: "refused", answered: false },
            { request: "waiting", route: "", phase: "waiting", age: 9, end: "refused", answered: false },
            { request: "running", route: "", phase: "running", age: 8, end: "failed", answered: false },
        ]);
    });
});
