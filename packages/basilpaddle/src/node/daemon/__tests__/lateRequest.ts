import { once } from "node:events";
import * as net from "node:net";

/** Sends half a request, waits for an answer, sends the rest, and waits until the connection is closed; returns the answer. */
export async function sendLate(port: number): Promise<string> {
    const socket = net.connect({ host: "127.0.0.1", port });
    socket.write("POST / HTTP/1.1\r\nHost: a\r\n");
    const [answer] = await once(socket, "data") as [Buffer];
    socket.on("error", () => undefined);
    socket.write("Content-Length: 0\r\n\r\n");
    await once(socket, "close");
    return answer.toString();
}
