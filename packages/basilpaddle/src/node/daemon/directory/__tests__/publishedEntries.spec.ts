import { expect } from "chai";
import * as fc from "fast-check";
import { Right } from "purify-ts";
import { ManualClock } from "../../../../../../../simulation/manualClock.js";
import { announced } from "../../../coordination/gateway/__tests__/fakes.js";
import { readUpdate } from "../../../coordination/gateway/readUpdate.js";
import type { ServerAnnouncement, WatchUpdate } from "../../../protocol/index.js";
import { encodeFrame, FrameReader } from "../../../transport/index.js";
import { createSilentLogger } from "../../../utils/index.js";
import { BackendServerCalls } from "../backendServerCalls.js";
import { BackendServerRegistry } from "../backendServerRegistry.js";
import type { DirectoryWire } from "../directoryWire.js";
import type { ServerMembership } from "../serverMembership.js";

const name = fc.oneof(fc.string(), fc.string({ minLength: 195, maxLength: 205 }));
const number = fc.oneof(fc.integer(), fc.double(), fc.constantFrom(0, 1, 1e308));
const announcement = fc.record({
    id: name,
    service: name,
    address: fc.oneof(fc.constantFrom("127.0.0.1:80", "127.0.0.1:99999", "0.0.0.0:80", ""), fc.string()),
    slots: number,
    sequence: number,
    startedAt: number,
    softwareVersion: name,
    state: fc.constantFrom("ready", "draining", "gone"),
    stage: fc.constantFrom("prefill", "decode", "other", undefined),
}, { requiredKeys: [] });

/** A directory's entries after calls of arbitrary programs. */
function entriesAfter(): { readonly calls: BackendServerCalls; readonly registry: BackendServerRegistry; } {
    const clock = new ManualClock(0);
    const registry = BackendServerRegistry.create({
        name: "directory",
        heartbeat: 1_000,
        clock,
        activeClock: clock,
        logger: createSilentLogger(),
        onAnnouncementsChanged: () => undefined,
        onInstancesChanged: () => undefined,
        onFirstHeard: () => undefined,
    });
    const wire = {
        parseAnnouncement: (id: string, body: string) => Right({ ...JSON.parse(body) as ServerAnnouncement, id }),
        parseDeparture: (id: string) => Right({ name: id }),
    } as unknown as DirectoryWire;
    const done = Promise.resolve({ kind: "done" });
    const membership = {
        announce: (server: ServerAnnouncement) => (registry.announce(server), done),
        leave: (departure: { readonly name: string; }) => (registry.leave(departure), done),
    } as unknown as ServerMembership;
    return { calls: BackendServerCalls.create({ wire, membership, logger: createSilentLogger() }), registry };
}

describe("the entries that a directory publishes", () => {
    // Guards against a call of any program that is stored, and that no other daemon can read.
    it("can all be read by others, whatever was called", async () => {
        await fc.assert(
            fc.asyncProperty(fc.array(fc.tuple(fc.boolean(), name, announcement), { maxLength: 20 }), async sent => {
                const { calls, registry } = entriesAfter();
                for (const [leaves, id, server] of sent) {
                    await (leaves
                        ? calls.leave(id, "")
                        : calls.announce(id, JSON.stringify({ ...announced({ id }), ...server })));
                }
                const entries = [...registry.announcements.changedAfter(0, 0)];
                const update = {
                    incarnation: "i",
                    cursor: 0,
                    version: 0,
                    announced: entries,
                    members: [],
                    gateways: 1,
                };
                const frame = encodeFrame({ ...update, failureDomain: "a" });
                const [received] = FrameReader.create().push(frame) as [WatchUpdate];
                const directory = { name: "directory", reached: true, asked: true };
                const read = readUpdate(received, directory, createSilentLogger())?.announced;
                expect(read?.map(({ id }) => id)).to.deep.equal(entries.map(({ id }) => id));
            }),
            { seed: 1 },
        );
    });
});
