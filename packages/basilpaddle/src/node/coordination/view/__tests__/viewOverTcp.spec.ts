import { expect } from "chai";
import { ControlGroup, groupTiming, pollUntilDefined } from "../../../../../../../simulation/control/controlGroup.js";
import { PartitionableNetwork } from "../../../../../../../simulation/control/partitionableNetwork.js";
import { ordersLease, timingSchema } from "../../../protocol/index.js";
import { commands } from "../../../state/__tests__/commands.js";
import { createSilentLogger, SeededRandomness, SystemClock } from "../../../utils/index.js";
import { PeerControlClient } from "../viewClient.js";

const names = ["one", "two", "three"];
const timing = timingSchema.parse({ ...groupTiming, viewLease: 1_000, electionTimeout: 300 });
/** Ports that identify the clients in the simulated topology. */
const firstClientPort = 100;

describe("control clients and control daemons over TCP", () => {
    let group: ControlGroup;
    let clients: PeerControlClient[];

    beforeEach(async () => {
        group = await ControlGroup.create(names, timing);
        clients = [0, 1].map(index =>
            PeerControlClient.create({
                session: commands.session(`entry-${index}`),
                failureDomain: "pocitos",
                peers: { host: "127.0.0.1", port: 1 },
                controls: group.settings(names[0]!).controls,
                timing,
                network: new PartitionableNetwork(group.topology, firstClientPort + index),
                clock: SystemClock.create(),
                randomness: SeededRandomness.create(index),
                logger: createSilentLogger(),
            })
        );
        await pollUntilDefined(
            "all clients may start work",
            () => clients.every(client => client.mayStart()) || undefined,
        );
    });

    afterEach(async () => {
        await Promise.all(clients.map(client => client.close()));
        await group.close();
    });

    it("apply a change everywhere by the time it is accepted, also after the leader was killed", async () => {
        for (let base = 0; base < 2; base++) {
            const result = await clients[0]!.propose(commands.change(`change-${base}`, base), 20_000);
            expect(result.extract()).to.deep.equal({ kind: "accepted", revision: base + 1 });
            expect(clients.map(client => client.view().configuration.revision)).to.deep.equal([base + 1, base + 1]);
            if (base === 0) {
                await group.kill(await group.leader());
            }
        }
        await pollUntilDefined(
            "all clients may start work",
            () => clients.every(client => client.mayStart()) || undefined,
        );
    });

    it("transfer the leases of an unreachable client, and release those of a closing client at once", async () => {
        const firstLease = await pollUntilDefined("a lease holder", () => clients[0]!.view().leases[ordersLease]);
        const holder = clients.findIndex(client => client.session().daemon === firstLease.holder.daemon);
        const other = clients[1 - holder]!;
        group.topology.isolatedPorts.add(firstClientPort + holder);
        const newLease = await pollUntilDefined("the other client as lease holder", () => {
            const lease = other.view().leases[ordersLease];
            return lease?.holder.daemon === other.session().daemon ? lease : undefined;
        });
        expect(newLease.fence).to.be.greaterThan(firstLease.fence);
        expect(clients[holder]!.mayStart()).to.equal(false);
        group.topology.isolatedPorts.delete(firstClientPort + holder);
        await pollUntilDefined("the session to be reopened", () => clients[holder]!.mayStart() || undefined);
        await other.close();
        await pollUntilDefined("the lease to return", () => {
            const lease = clients[holder]!.view().leases[ordersLease];
            return lease?.holder.daemon === firstLease.holder.daemon ? lease : undefined;
        });
    });

    it("may start work while most control daemons refuse connections, and stop when these are silent", async () => {
        const [client] = clients;
        // If the leader granted the lease while it loses its quorum, its command could not be committed, and the remaining
        // voter would rightly count as ahead of the view.
        await pollUntilDefined(
            "a lease holder in every view",
            () => clients.every(each => each.view().leases[ordersLease]) || undefined,
        );
        for (const name of names.slice(0, 2)) {
            await group.stop(name);
        }
        const expiryAtLoss = client!.confirmedUntil()!;
        await pollUntilDefined(
            "the lease to be extended by twice its duration",
            () => client!.confirmedUntil()! > expiryAtLoss + 2 * timing.viewLease || undefined,
        );
        names.slice(0, 2).forEach(name => group.isolate(name));
        await pollUntilDefined("the lease to expire", () => !client!.mayStart() || undefined);
        expect(client!.startBlocker()).to.include({ kind: "noMajority" });
    });
});
