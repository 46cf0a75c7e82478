import * as net from "node:net";

/** Allocates loopback hosts in a random 127.x.y network, to avoid other deployments on this machine, and free ports. */
export class Addresses {
    private constructor(private readonly subnet: string) {}

    static create(): Addresses {
        const part = (): number => 1 + Math.floor(Math.random() * 254);
        return new Addresses(`127.${part()}.${part()}`);
    }

    /** The loopback host with the given last octet. */
    host(last: number): string {
        return `${this.subnet}.${last}`;
    }

    /** An address with a port that was free when it was checked; a daemon keeps it across its restarts. */
    async free(host: string): Promise<{ host: string; port: number; }> {
        const server = net.createServer();
        await new Promise<void>((resolve, reject) => {
            server.once("error", reject);
            server.listen(0, host, resolve);
        });
        const { port } = server.address() as net.AddressInfo;
        await new Promise<void>(resolve => server.close(() => resolve()));
        return { host, port };
    }
}
