import { type Link, type Network, parseAddress } from "../../transport/index.js";

/** The links from a replica to the other members of its group. */
export abstract class Peers {
    /** Names of the control daemons that are known at startup, possibly including this one. */
    abstract names(): readonly string[];

    /** The link to a control daemon; undefined if there is none for the name. */
    abstract link(name: string): Link | undefined;
}

/** A fixed set of control daemons, as listed in the settings. */
export class FixedPeers extends Peers {
    private constructor(private readonly links: ReadonlyMap<string, Link>) {
        super();
    }

    static create(links: ReadonlyMap<string, Link>): FixedPeers {
        return new FixedPeers(links);
    }

    override names(): readonly string[] {
        return [...this.links.keys()];
    }

    override link(name: string): Link | undefined {
        return this.links.get(name);
    }
}

/**
 * Control daemons whose names are their peer addresses, "IP:PORT". A machine that replaces a lost one has an address
 * that no settings file lists; since the membership consists of names, every member can still reach it.
 */
export class AddressedPeers extends Peers {
    private readonly links = new Map<string, Link>();

    private constructor(
        private readonly network: Network,
        private readonly self: string,
        private readonly seeds: () => readonly string[],
    ) {
        super();
    }

    /** `seeds` returns the names known at startup; it is called each time since the settings may change. */
    static create(network: Network, self: string, seeds: () => readonly string[]): AddressedPeers {
        return new AddressedPeers(network, self, seeds);
    }

    override names(): readonly string[] {
        return this.seeds();
    }

    override link(name: string): Link | undefined {
        if (name === this.self) {
            return undefined;
        }
        const existing = this.links.get(name);
        if (existing !== undefined) {
            return existing;
        }
        const address = parseAddress(name);
        if (address === undefined) {
            return undefined;
        }
        const link = this.network.link(address);
        this.links.set(name, link);
        return link;
    }

    /** Closes all links. */
    close(): void {
        this.links.forEach(link => link.close());
        this.links.clear();
    }
}
