import { expect } from "chai";
import * as fc from "fast-check";
import type { Socket } from "node:net";
import type { Either } from "purify-ts";
import type { DecodeLine } from "../../../protocol/index.js";
import { DecodeLineParser } from "../decodeLineParser.js";
import type { EngineFailure } from "../engine.js";
import type { EngineLimits } from "../engineLimits.js";
import { HttpEngine } from "../httpEngine.js";
import { answer, RawTcpServer, streamHead } from "./rawTcpServer.js";

const neverAborted = new AbortController().signal;

function token(offset: number, text = "word"): DecodeLine {
    return { kind: "token", offset, text };
}

function end(offset: number): DecodeLine {
    return { kind: "end", offset, reason: "stop" };
}

function encodeLines(...lines: readonly DecodeLine[]): string {
    return lines.map(line => `${JSON.stringify(line)}\n`).join("");
}

function kindOf(line: Either<EngineFailure, DecodeLine>): string {
    return line.caseOf<string>({ Left: failure => failure.kind, Right: value => value.kind });
}

describe("a decode stream", () => {
    let server: RawTcpServer;
    let engine: HttpEngine;

    async function startServer(
        handleConnection: (socket: Socket) => void,
        limits: Partial<EngineLimits> = {},
    ): Promise<void> {
        server = await RawTcpServer.create(({ socket }) => handleConnection(socket));
        engine = HttpEngine.create(server.url, limits);
    }

    /** Collects the kinds of the lines and, last, of the failure. */
    async function collectKinds(): Promise<string[]> {
        const seen: string[] = [];
        for await (const line of engine.decode("a", 0, neverAborted)) {
            seen.push(kindOf(line));
        }
        return seen;
    }

    afterEach(async () => {
        await engine.close();
        await server.close();
    });

    it("ends after its end line", async () => {
        await startServer(socket => socket.end(streamHead + encodeLines(token(0), token(1), end(2))));
        expect(await collectKinds()).to.deep.equal(["token", "token", "end"]);
    });

    it("that ends without its end line is not a complete answer", async () => {
        // Guards against passing on a partial answer as complete: the engine dies between two tokens, its host closes the
        // connection cleanly, and the end of the body was treated as the end of the answer.
        await startServer(socket => socket.end(streamHead + encodeLines(token(0))));
        expect(await collectKinds()).to.deep.equal(["token", "unknown"]);
    });

    it("that ends inside a line yields the complete lines before it", async () => {
        await startServer(socket => socket.end(streamHead + encodeLines(token(0)) + "{\"kind\":\"tok"));
        expect(await collectKinds()).to.deep.equal(["token", "unknown"]);
    });

    it("that is reset yields the lines before the reset", async () => {
        let resetConnection = () => {};
        await startServer(socket => {
            socket.write(streamHead + encodeLines(token(0)));
            resetConnection = () => socket.resetAndDestroy();
        });
        const seen: string[] = [];
        for await (const line of engine.decode("a", 0, neverAborted)) {
            seen.push(kindOf(line));
            resetConnection();
        }
        expect(seen).to.deep.equal(["token", "unknown"]);
    });

    it("with an invalid line yields the lines before it, and is aborted", async () => {
        await startServer(socket => socket.write(streamHead + encodeLines(token(0)) + "{}\n" + encodeLines(token(1))));
        expect(await collectKinds()).to.deep.equal(["token", "unknown"]);
        await server.closings[0];
    });

    it("in which the engine reports an error has failed", async () => {
        const failed: DecodeLine = { kind: "error", message: "out of memory" };
        await startServer(socket => socket.end(streamHead + encodeLines(token(0), failed)));
        expect(await collectKinds()).to.deep.equal(["token", "failed"]);
    });

    it("that is provably refused is not run", async () => {
        const refusal = { notRun: true, code: "evicted", message: "gone" };
        await startServer(socket => socket.write(answer(409, refusal)));
        expect(await collectKinds()).to.deep.equal(["notRun"]);
    });

    it("that stalls fails at the idle limit", async () => {
        await startServer(socket => socket.write(streamHead + encodeLines(token(0))), { decodeIdle: 30 });
        expect(await collectKinds()).to.deep.equal(["token", "unknown"]);
    });

    it("that the caller stops reading is closed", async () => {
        await startServer(socket => socket.write(streamHead + encodeLines(token(0), token(1))));
        for await (const line of engine.decode("a", 0, neverAborted)) {
            expect(kindOf(line)).to.equal("token");
            break;
        }
        await server.closings[0];
    });

    it("with a slow caller slows the engine down, and loses nothing", async () => {
        // Guards against unbounded buffering: a caller reads slowly while the engine sends at full speed, and the daemon's
        // memory grows until the host kills it with all of its streams.
        const total = 150_000;
        let sent = 0;
        let resolveStalled = () => {};
        const stalledPromise = new Promise<void>(resolve => {
            resolveStalled = resolve;
        });
        await startServer(socket => {
            socket.write(streamHead);
            const writeMore = () => {
                while (sent < total) {
                    const lines = Array.from({ length: 100 }, (_, n) => token(sent + n, "x".repeat(100)));
                    sent += 100;
                    if (!socket.write(encodeLines(...lines))) {
                        const timer = setTimeout(resolveStalled, 100);
                        socket.once("drain", () => {
                            clearTimeout(timer);
                            writeMore();
                        });
                        return;
                    }
                }
                resolveStalled();
                socket.end(encodeLines(end(total)));
            };
            writeMore();
        });
        let next = 0;
        for await (const batch of engine.decodeBatches("a", 0, neverAborted)) {
            if (next === 0) {
                await stalledPromise;
                expect(sent).to.be.below(total);
            }
            for (const line of batch.unsafeCoerce()) {
                if (line.kind === "error" || line.offset !== next) {
                    expect.fail(`got ${JSON.stringify(line)}, expected offset ${next}`);
                }
                next += line.kind === "token" ? 1 : 0;
            }
        }
        expect(next).to.equal(total);
    });

    it("yields the same lines wherever its chunks are split", () => {
        const lines = fc.array(fc.string({ unit: "grapheme" }), { minLength: 1, maxLength: 20 });
        fc.assert(
            fc.property(lines, fc.array(fc.nat(40), { minLength: 1 }), (texts, sizes) => {
                const expected = texts.map((text, offset) => token(offset, text));
                const bytes = Buffer.from(encodeLines(...expected));
                const parser = DecodeLineParser.create(1_000_000);
                const seen: DecodeLine[] = [];
                for (let start = 0, chunkIndex = 0; start < bytes.length; chunkIndex++) {
                    const size = 1 + sizes[chunkIndex % sizes.length]!;
                    const { lines, error } = parser.push(bytes.subarray(start, start + size));
                    expect(error).to.equal(undefined);
                    seen.push(...lines);
                    start += size;
                }
                expect(seen).to.deep.equal(expected);
                expect(parser.pendingBytes()).to.equal(0);
            }),
            { seed: 20, numRuns: 300 },
        );
    });
});
