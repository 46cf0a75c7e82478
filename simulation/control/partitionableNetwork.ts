import { type Either, Left } from "purify-ts";
import { Link, type LinkFailure, Network, TcpNetwork } from "../../packages/basilpaddle/src/node/transport/index.js";
import { createSilentLogger } from "../../packages/basilpaddle/src/node/utils/index.js";

/** Listening port of each daemon, and the daemons that are isolated. Messages to and from these are lost without an error. */
export class NetworkTopology {
    /** Port that a daemon listens on, by its port in the settings. */
    readonly actualPorts = new Map<number, number>();
    /** Ports in the settings of the daemons that are isolated from all others, in both directions. */
    readonly isolatedPorts = new Set<number>();
}

/** The network as used by one daemon: TCP that resolves ports by the topology and drops the messages of isolated daemons. */
export class PartitionableNetwork extends Network {
    private readonly network = TcpNetwork.create(createSilentLogger());

    /** `ownPort` is the port of this daemon in the topology. 0 for a daemon that is never isolated itself. */
    constructor(private readonly topology: NetworkTopology, private readonly ownPort: number) {
        super();
    }

    override link(address: { readonly host: string; readonly port: number; }): Link {
        return new PartitionableLink(this.topology, this.ownPort, address, this.network);
    }
}

class PartitionableLink extends Link {
    private inner: { readonly port: number; readonly link: Link; } | undefined;

    constructor(
        private readonly topology: NetworkTopology,
        private readonly ownPort: number,
        private readonly address: { readonly host: string; readonly port: number; },
        private readonly network: Network,
    ) {
        super();
    }

    override async request(body: unknown, timeout: number): Promise<Either<LinkFailure, unknown>> {
        if (!this.isPartitioned()) {
            return this.link().request(body, timeout);
        }
        await new Promise(resolve => setTimeout(resolve, timeout));
        return Left({ kind: "timeout", message: "simulated network partition" });
    }

    override send(body: unknown): void {
        if (!this.isPartitioned()) {
            this.link().send(body);
        }
    }

    override close(): void {
        this.inner?.link.close();
    }

    private isPartitioned(): boolean {
        return this.topology.isolatedPorts.has(this.ownPort) || this.topology.isolatedPorts.has(this.address.port);
    }

    private link(): Link {
        const port = this.topology.actualPorts.get(this.address.port) ?? this.address.port;
        if (this.inner?.port !== port) {
            this.inner?.link.close();
            this.inner = { port, link: this.network.link({ host: this.address.host, port }) };
        }
        return this.inner.link;
    }
}
