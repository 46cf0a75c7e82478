// The network between machines and one worker: a proxy at the address that the worker announces. A cut holds back all bytes and ends of
// connections, in both directions, as a silent partition does; they arrive once it has healed.
import * as net from "node:net";

export class Path {
    constructor(server) {
        this.server = server;
        this.pairs = new Set();
        this.cutHosts = new Set();
    }

    static async create(host) {
        const path = new Path(net.createServer({ pauseOnConnect: true, allowHalfOpen: true }));
        path.server.on("connection", socket => path.accept(socket));
        await new Promise((resolve, reject) => path.server.once("error", reject).listen(0, host, resolve));
        path.address = `${host}:${path.server.address().port}`;
        return path;
    }

    setTarget(address) {
        const [host, port] = address.split(":");
        this.target = { host, port: Number(port) };
    }

    /** Cuts the connections from these hosts. */
    cut(hosts) {
        this.cutHosts = new Set(hosts);
        this.pairs.forEach(pair => pair.update());
    }

    heal() {
        this.cutHosts = new Set();
        this.pairs.forEach(pair => pair.update());
    }

    close() {
        this.server.close();
        this.pairs.forEach(pair => pair.destroy());
    }

    accept(client) {
        const upstream = net.connect({ ...this.target, allowHalfOpen: true, noDelay: true });
        const held = [];
        const isCut = () => this.cutHosts.has(client.remoteAddress ?? host);
        const host = client.remoteAddress;
        const pass = action => {
            if (isCut() || held.length > 0) {
                held.push(action);
            }
            else {
                action();
            }
        };
        const pair = {
            update: () => {
                while (!isCut() && held.length > 0) {
                    held.shift()();
                }
            },
            destroy: () => {
                client.destroy();
                upstream.destroy();
            },
        };
        this.pairs.add(pair);
        client.on("data", chunk => pass(() => upstream.write(chunk)));
        upstream.on("data", chunk => pass(() => client.write(chunk)));
        client.on("end", () => pass(() => upstream.end()));
        upstream.on("end", () => pass(() => client.end()));
        client.on("error", () => pass(() => upstream.resetAndDestroy()));
        upstream.on("error", () => pass(() => client.resetAndDestroy()));
        client.on("close", () => pass(() => (upstream.destroy(), this.pairs.delete(pair))));
        client.resume();
    }
}
