import { type Either, Left, Right } from "purify-ts";
import type { Dispatcher } from "undici";
import type { DecodeLine } from "../../protocol/index.js";
import type { Clock } from "../../utils/index.js";
import { DecodeLineParser } from "./decodeLineParser.js";
import type { EngineFailure } from "./engine.js";
import { failureFromResponse } from "./engineFailure.js";
import { EngineHttpCall } from "./engineHttpCall.js";
import type { EngineLimits } from "./engineLimits.js";

/** A call that streams decoded tokens. Parses chunks as they arrive and yields their lines in batches. */
export class DecodeCall extends EngineHttpCall {
    private readonly parser: DecodeLineParser;
    private readonly refusalChunks: Buffer[] = [];
    private status = 0;
    private bufferedLines: DecodeLine[] = [];
    private bufferedBytes = 0;
    private pausedController: Dispatcher.DispatchController | undefined;
    private failure: EngineFailure | undefined;
    private wakeReader: (() => void) | undefined;
    private lastChunkAt: number;

    private constructor(clock: Clock, private readonly limits: EngineLimits) {
        super(clock, limits.connect);
        this.parser = DecodeLineParser.create(limits.answerBytes);
        this.lastChunkAt = clock.monotonic();
    }

    static create(clock: Clock, limits: EngineLimits): DecodeCall {
        return new DecodeCall(clock, limits);
    }

    /** Yields the lines in batches, then the failure if the call failed. Ending the iteration early aborts the call. */
    async *batches(): AsyncGenerator<Either<EngineFailure, readonly DecodeLine[]>, void> {
        try {
            for (;;) {
                if (this.bufferedLines.length > 0) {
                    yield Right(this.drainBufferedLines());
                }
                else if (this.hasEnded()) {
                    if (this.failure !== undefined) {
                        yield Left(this.failure);
                    }
                    return;
                }
                else {
                    await this.waitForData();
                }
            }
        }
        finally {
            this.fail("the caller stopped reading");
        }
    }

    override onResponseStart(_controller: Dispatcher.DispatchController, status: number): void {
        this.status = status;
        this.lastChunkAt = this.clock.monotonic();
    }

    override onResponseData(controller: Dispatcher.DispatchController, chunk: Buffer): void {
        this.lastChunkAt = this.clock.monotonic();
        if (this.hasEnded()) {
            // The engine sent more data after the end of the answer, so the connection must not be reused for another
            // request.
            controller.abort(new Error("received data after the end of the answer"));
            return;
        }
        if (this.status !== 200) {
            this.bufferRefusal(chunk);
            return;
        }
        this.bufferLines(controller, chunk);
    }

    override onResponseEnd(): void {
        if (this.status !== 200) {
            this.failWith(failureFromResponse(this.status, Buffer.concat(this.refusalChunks).toString()));
            return;
        }
        this.fail(
            `the stream ended without an end line, with ${this.parser.pendingBytes()} bytes of an incomplete line`,
        );
    }

    protected override started(): void {
        this.lastChunkAt = this.clock.monotonic();
        this.watchIdle(this.limits.decodeIdle);
    }

    protected override failed(failure: EngineFailure): void {
        this.failure = failure;
        this.notifyReader();
    }

    private bufferRefusal(chunk: Buffer): void {
        this.bufferedBytes += chunk.length;
        if (this.bufferedBytes > this.limits.answerBytes) {
            this.fail("the engine's answer exceeds the size limit");
            return;
        }
        this.refusalChunks.push(chunk);
    }

    private bufferLines(controller: Dispatcher.DispatchController, chunk: Buffer): void {
        const { lines, error } = this.parser.push(chunk);
        for (const line of lines) {
            if (line.kind === "error") {
                this.failWith({ kind: "failed", code: undefined, message: line.message });
                return;
            }
            this.bufferedLines.push(line);
            if (line.kind === "end") {
                this.finish();
                this.notifyReader();
                return;
            }
        }
        if (error !== undefined) {
            this.fail(error);
            return;
        }
        this.applyBackpressure(controller, chunk.length);
        if (lines.length > 0) {
            this.notifyReader();
        }
    }

    /**
     * Pauses reading when the buffer exceeds its limit because the caller is slow; TCP flow control then slows the engine
     * down.
     */
    private applyBackpressure(controller: Dispatcher.DispatchController, bytes: number): void {
        this.bufferedBytes += bytes;
        if (this.bufferedBytes > this.limits.waitingBytes && this.pausedController === undefined) {
            this.pausedController = controller;
            controller.pause();
        }
    }

    private drainBufferedLines(): readonly DecodeLine[] {
        const lines = this.bufferedLines;
        this.bufferedLines = [];
        this.bufferedBytes = 0;
        const controller = this.pausedController;
        if (controller !== undefined) {
            this.pausedController = undefined;
            this.lastChunkAt = this.clock.monotonic();
            controller.resume();
        }
        return lines;
    }

    /** Fails the call when it is idle. Uses one timer, restarted only when it fires, as a chunk may arrive for each token. */
    private watchIdle(milliseconds: number): void {
        this.setTimer(milliseconds, () => {
            const idle = this.clock.monotonic() - this.lastChunkAt;
            if (this.pausedController !== undefined) {
                this.watchIdle(this.limits.decodeIdle);
            }
            else if (idle < this.limits.decodeIdle) {
                this.watchIdle(this.limits.decodeIdle - idle);
            }
            else {
                this.fail(`received no data for ${this.limits.decodeIdle} ms`);
            }
        });
    }

    private waitForData(): Promise<void> {
        return new Promise(resolve => {
            this.wakeReader = resolve;
        });
    }

    private notifyReader(): void {
        const wake = this.wakeReader;
        this.wakeReader = undefined;
        wake?.();
    }
}
