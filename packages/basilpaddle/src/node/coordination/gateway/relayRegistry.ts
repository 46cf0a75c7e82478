import type { Relay, RelayList, RelayRegistration } from "../../protocol/index.js";
import { hashToFraction } from "../../utils/index.js";

/** A relay that hasn't registered again within this time isn't listed any more: longer than two intervals of registration. */
const registrationLifetimeMilliseconds = 25_000;
/** Number of relays listed to one gateway. */
const maxListedRelays = 8;

/** The gateways that a directory knows as relays. */
export class RelayRegistry {
    private readonly registered = new Map<string, RelayRegistration & { readonly at: number; }>();

    static create(): RelayRegistry {
        return new RelayRegistry();
    }

    /** Registers a gateway and lists relays for it. */
    register(registration: RelayRegistration, now: number): RelayList {
        this.registered.set(registration.relay.gateway, { ...registration, at: now });
        this.registered.forEach(({ at }, name) => {
            if (now - at > registrationLifetimeMilliseconds) {
                this.registered.delete(name);
            }
        });
        return { relays: this.listFor(registration.relay) };
    }

    /** Half of the list from the gateway's own failure domain, if there are enough; for each gateway in another order. */
    private listFor(gateway: Relay): Relay[] {
        const order = (relay: Relay): number => hashToFraction(`${gateway.gateway} ${relay.gateway}`);
        const usable = [...this.registered.values()]
            .filter(({ relay, reachesServers }) => reachesServers && relay.gateway !== gateway.gateway)
            .map(({ relay }) => relay)
            .sort((one, other) => order(one) - order(other));
        const near = usable.filter(({ failureDomain }) => failureDomain === gateway.failureDomain);
        const far = usable.filter(({ failureDomain }) => failureDomain !== gateway.failureDomain);
        const listedNear = near.slice(0, Math.max(maxListedRelays / 2, maxListedRelays - far.length));
        return [...listedNear, ...far.slice(0, maxListedRelays - listedNear.length)];
    }
}
