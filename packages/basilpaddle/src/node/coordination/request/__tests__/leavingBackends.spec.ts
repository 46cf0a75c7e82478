import { expect } from "chai";
import { commands } from "../../../state/__tests__/commands.js";
import { ViewState } from "../../../state/index.js";
import { LeavingBackends } from "../leavingBackends.js";

describe("leaving backend servers", () => {
    it("are kept while an order drains the backend server and makes it ready again", () => {
        // Guards against new work for an engine that announced it is leaving. The announcement reaches this daemon while there
        // is no quorum; the view shows the engine draining for a change of role, then ready again. The mark was removed as
        // soon as the engine's state in the view was no longer ready, whatever the reason.
        const state = ViewState.create();
        state.apply(1, commands.announce("decode-1", 1));
        const leavingBackends = LeavingBackends.create();
        leavingBackends.markLeaving("decode-1", 1);
        const ready = state.view();
        const entry = ready.backends["decode-1"]!;
        leavingBackends.removeReflected({ ...ready, backends: { "decode-1": { ...entry, state: "draining" } } });
        expect(leavingBackends.isLeaving("decode-1", 1)).to.equal(true);
        leavingBackends.removeReflected(ready);
        expect(leavingBackends.isLeaving("decode-1", 1)).to.equal(true);
        leavingBackends.removeReflected({ ...ready, backends: { "decode-1": { ...entry, state: "leaving" } } });
        expect(leavingBackends.isLeaving("decode-1", 1)).to.equal(false);
    });
});
