import { expect } from "chai";
import * as net from "node:net";
import { until } from "../../../../../../../playground/harness/wait.js";
import { EntryHarness } from "./entryHarness.js";

const heldBodyBytes = 1_000_000;
const callers = 60;
/** Bytes of one body, without its end: a part of half of it, and the rest in parts of one byte. */
const partBytes = 15_000;

describe("the bodies of an entry daemon's callers", () => {
    let harness: EntryHarness;
    let sockets: net.Socket[];
    let answers: string[];

    /** Has callers send bodies that don't end, and stay. */
    function crowd(port: number, path: string): void {
        const head = `POST ${path} HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n`;
        answers = Array.from({ length: callers }, () => "");
        sockets = answers.map((_, caller) => {
            const socket = net.connect(port, "127.0.0.1");
            socket.on("data", bytes => answers[caller] += String(bytes));
            socket.on("error", () => undefined);
            const part = `${partBytes.toString(16)}\r\n${"x".repeat(partBytes)}\r\n`;
            socket.write(head + part + "1\r\nx\r\n".repeat(partBytes));
            return socket;
        });
    }

    beforeEach(async () => {
        harness = await EntryHarness.create({ heldBodyBytes, bodyBytes: 100_000 });
    });

    afterEach(async () => {
        sockets.forEach(socket => socket.destroy());
        await harness.daemon.drain();
        await harness.daemon.close();
    });

    // Guards against bodies that never end and together take the memory of the daemon.
    it("have room together, beyond which the largest unfinished ones are refused as not run", async () => {
        crowd(harness.daemon.callerPort(), "/v1/chat/completions");
        const refused = (): string[] => answers.filter(answer => answer.startsWith("HTTP/1.1 503"));
        await until("one is refused", () => Promise.resolve(refused().length > 0));
        expect(refused()[0]).to.include("noRoom").and.include("not_run");
        expect((await harness.chat()).status).to.equal(200);
    });
});
