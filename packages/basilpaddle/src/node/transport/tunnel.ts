import type { Socket } from "node:net";
import { afterPoll } from "../utils/index.js";
import type { NetworkAddress } from "./address.js";
import { ConnectionFailure, connectTimeoutCode, openSocket } from "./connecting.js";
import { confirmEnd } from "./connectionEnd.js";
import { encodeFrame, readFrame } from "./frame.js";

/**
 * Connects to another daemon, sends a frame and reads the frame that answers it. The connection is then the caller's, with all
 * bytes after that frame unread. Rejects with a `ConnectionFailure` if both don't succeed within so many milliseconds.
 */
export async function openTunnel(
    address: NetworkAddress,
    request: unknown,
    timeout: number,
    localAddress?: string,
): Promise<{ readonly socket: Socket; readonly reply: unknown; }> {
    const startedAt = performance.now();
    const socket = await openSocket(address, timeout, localAddress);
    let isLate = false;
    const cancelTimeout = afterPoll(startedAt + timeout - performance.now(), () => {
        isLate = true;
        socket.destroy();
    });
    socket.write(encodeFrame(request));
    const reply = await readFrame(socket);
    cancelTimeout();
    if (reply === undefined) {
        socket.destroy();
        throw ConnectionFailure.create(
            isLate ? connectTimeoutCode : "NO_TUNNEL",
            `no reply from ${address.host}:${address.port}`,
        );
    }
    return { socket, reply };
}

/**
 * Forwards bytes between a client's connection and its server's until either ends. A connection that was reset resets the other
 * one; what the server sent before its end is still forwarded, and what the client sent before its own isn't.
 */
export function joinSockets(client: Socket, server: Socket): void {
    for (const [from, to] of [[client, server], [server, client]] as const) {
        confirmEnd(from);
        from.on("error", () => to.resetAndDestroy());
        from.pipe(to);
    }
    client.on("close", () => server.destroy());
    server.on("close", () => client.destroySoon());
}
