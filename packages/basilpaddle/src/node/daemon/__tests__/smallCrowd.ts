import { expect } from "chai";
import * as net from "node:net";
import { until } from "../../../../../../playground/harness/wait.js";
import { RecordedMetrics } from "../../utils/index.js";
import type { BodyRoom, ConnectionGuard } from "../listeners/index.js";
import { createSilentGuard, createSilentRoom } from "./silentGuard.js";

/** Bytes that the bodies of a crowd may hold together. */
const roomBytes = 100_000;
/** Parts of one byte each that one body has. */
const smallParts = 10_000;
const callers = 10;

/** The bounds of a listener's connections and bodies. */
export type Bounds = { readonly guard: ConnectionGuard; readonly room: BodyRoom; };

/** Low bounds. */
export function createLowBounds(): Bounds {
    return { guard: createSilentGuard(), room: createSilentRoom(roomBytes) };
}

/** Connections that the guard knows of. */
export function watchedConnections(guard: ConnectionGuard): number {
    const metrics = RecordedMetrics.create();
    guard.measure(metrics);
    return Number(/^basilpaddle_connections (\d+)$/m.exec(metrics.text())?.[1]);
}

/** Has a small crowd send bodies in parts of one byte, and larger ones, all without their end; others must be answered, and room stay. */
export async function expectBounded(
    port: number,
    { guard, room }: Bounds,
    { path, read }: { readonly path: string; readonly read: string; },
): Promise<void> {
    const head = `POST ${path} HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n`;
    const open = (bytes: string): { readonly socket: net.Socket; answers: string; } => {
        const caller = { socket: net.connect(port, "127.0.0.1"), answers: "" };
        caller.socket.on("data", received => {
            caller.answers += received.toString("latin1");
        });
        caller.socket.on("error", () => undefined);
        caller.socket.write(bytes);
        return caller;
    };
    const small = open(head + "1\r\nx\r\n".repeat(smallParts));
    await until("the small parts have arrived", () => Promise.resolve(room.bytes >= smallParts));
    expect(room.bytes).to.be.lessThan(3 * smallParts);
    expect(watchedConnections(guard)).to.equal(1);
    const crowd = Array.from({ length: callers }, () => open(`${head}7530\r\n${"x".repeat(30_000)}\r\n`));
    await until(
        "one gives way",
        () => Promise.resolve(crowd.some(({ answers }) => answers.startsWith("HTTP/1.1 503"))),
    );
    expect(room.bytes).to.be.at.most(roomBytes);
    expect((await fetch(`http://127.0.0.1:${port}${read}`)).status).to.equal(200);
    [small, ...crowd].forEach(({ socket }) => socket.destroy());
    await until("nothing is held any more", () => Promise.resolve(room.bytes === 0));
}
