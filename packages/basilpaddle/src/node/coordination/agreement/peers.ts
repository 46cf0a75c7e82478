import { type Link, type Network, parseAddress } from "../../transport/index.js";

/** How a replica reaches the other members of its group. */
export abstract class Peers {
    /** Names of control daemons that are known from the start, this one perhaps among them. */
    abstract names(): readonly string[];

    /** The link to a control daemon; undefined where the name means nobody. */
    abstract link(name: string): Link | undefined;
}

/** Control daemons that the settings list, and no others. */
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
 * Control daemons whose names are their peer addresses, "IP:PORT". A machine that replaces a lost one comes at an
 * address that no settings file names; since the membership is made of names, every member can still reach it.
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

    /** `seeds`: names to begin with, looked at anew each time since settings may change. */
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
        const known = this.links.get(name);
        if (known !== undefined) {
            return known;
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
