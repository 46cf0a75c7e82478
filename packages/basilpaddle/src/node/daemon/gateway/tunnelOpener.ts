import type { Socket } from "node:net";
import { type Relay, type ServerAnnouncement, tunnelReplySchema } from "../../protocol/index.js";
import { ConnectionFailure, connectTimeoutCode, openTunnel, parseAddress } from "../../transport/index.js";
import { ConnectionOpener, connectTimeoutMilliseconds } from "../backends/index.js";

/** Timeout for a tunnel: the relay itself waits for a connection for `connectTimeoutMilliseconds`. */
const tunnelTimeoutMilliseconds = connectTimeoutMilliseconds + 100;
/** Code of a tunnel that failed for a reason that concerns its relay alone. */
export const relayFailureCode = "NO_RELAY";
/** Code of a tunnel to which its relay didn't reply in time. */
export const relayTimeoutCode = "NO_RELAY_IN_TIME";

/** Opens connections to backend servers through another gateway. */
export class TunnelOpener extends ConnectionOpener {
    override readonly way = "relayed";

    private constructor(private readonly relay: Relay, private readonly localAddress: string | undefined) {
        super();
    }

    static create(relay: Relay, localAddress: string | undefined): TunnelOpener {
        return new TunnelOpener(relay, localAddress);
    }

    override async open({ id }: ServerAnnouncement): Promise<Socket> {
        const { socket, reply } = await this.openTunnel(id);
        const parsed = tunnelReplySchema.safeParse(reply);
        if (parsed.success && parsed.data.kind === "open") {
            return socket;
        }
        socket.destroy();
        const reason = parsed.success && parsed.data.kind === "failed" ? parsed.data.reason : "invalid reply";
        const code = reason === "refused" || reason === "unreachable"
            ? `SERVER_${reason.toUpperCase()}`
            : relayFailureCode;
        throw ConnectionFailure.create(code, `${this.relay.gateway}: ${reason}`);
    }

    private async openTunnel(server: string): ReturnType<typeof openTunnel> {
        const address = parseAddress(this.relay.address);
        if (address === undefined) {
            throw ConnectionFailure.create(relayFailureCode, `not an address: ${this.relay.address}`);
        }
        try {
            return await openTunnel(address, { server }, tunnelTimeoutMilliseconds, this.localAddress);
        }
        catch (error) {
            const { code, message } = error as ConnectionFailure;
            const relayCode = code === connectTimeoutCode ? relayTimeoutCode : relayFailureCode;
            throw ConnectionFailure.create(relayCode, `${this.relay.gateway}: ${message}`);
        }
    }
}
