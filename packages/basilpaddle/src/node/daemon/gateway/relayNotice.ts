import type { Socket } from "node:net";
import { type Relay, type TunnelReply, tunnelReplySchema, type TunnelRequest } from "../../protocol/index.js";
import { openTunnel, parseAddress, readFrame } from "../../transport/index.js";
import type { Clock } from "../../utils/index.js";

/** Time for the relay to accept the request. */
const requestTimeoutMilliseconds = 400;
/** Interval of requests to a relay that gives no notice, or whose connection broke. */
const repeatMilliseconds = 1_000;

/** Dependencies of a notice. */
export type RelayNoticeOptions = {
    readonly relay: Relay;
    readonly localAddress: string | undefined;
    /** Called when the relay begins to shut down, or does so already. */
    readonly onClosing: () => void;
    readonly clock: Clock;
};

/** A connection over which a relay tells that it begins to shut down. */
export class RelayNotice {
    private socket: Socket | undefined;
    private requestedAt = Number.NEGATIVE_INFINITY;
    private isOpen = false;
    private closed = false;

    private constructor(private readonly options: RelayNoticeOptions) {}

    static create(options: RelayNoticeOptions): RelayNotice {
        return new RelayNotice(options);
    }

    /** Requests the notice unless that is done. */
    request(): void {
        const now = this.options.clock.monotonic();
        if (!this.isOpen && !this.closed && now - this.requestedAt >= repeatMilliseconds) {
            this.requestedAt = now;
            this.isOpen = true;
            void this.listen().finally(() => {
                this.isOpen = false;
            });
        }
    }

    close(): void {
        this.closed = true;
        this.socket?.destroy();
    }

    private async listen(): Promise<void> {
        const reply = await this.waitForReply().catch(() => undefined);
        this.socket?.destroy();
        if (!this.closed && reply?.kind === "failed" && reply.reason === "closing") {
            this.options.onClosing();
        }
    }

    /** The reply with which the notice ends; undefined if the connection breaks or the relay gives none. */
    private async waitForReply(): Promise<TunnelReply | undefined> {
        const { relay, localAddress } = this.options;
        const address = parseAddress(relay.address);
        if (address === undefined) {
            return undefined;
        }
        const request: TunnelRequest = { kind: "notice" };
        const { socket, reply } = await openTunnel(address, request, requestTimeoutMilliseconds, localAddress);
        this.socket = socket;
        if (this.closed) {
            return undefined;
        }
        const first = tunnelReplySchema.safeParse(reply).data;
        return first?.kind === "open" ? tunnelReplySchema.safeParse(await readFrame(socket)).data : first;
    }
}
