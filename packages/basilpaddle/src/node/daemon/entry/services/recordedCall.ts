import { type ServerResponse } from "node:http";
import type { Dispatcher } from "undici";
import { type RequestDependencies, type Run, untilAborted } from "../../../coordination/request/index.js";
import {
    engineRefusalSchema,
    engineRefusalStatuses,
    type Outcome,
    type StoredAnswer,
} from "../../../protocol/index.js";
import { type ServiceCall, writeHead } from "./serviceCall.js";
import { endToEnd } from "./serviceHeaders.js";

const maxProofBytes = 65_536;
const maxRecordedBytes = 262_144;
const recordedHeaders = ["content-type", "content-encoding", "location", "etag"];

/**
 * Forwards the answer of a recorded call and records it. The last chunk is sent only after the record is stored, so a
 * caller that received the whole answer gets the same answer on a retry. The call continues if the caller disconnects: the
 * service may have executed it already, and a retry with the same key gets its answer.
 */
export async function forwardRecordedAnswer(
    dependencies: RequestDependencies,
    run: Run,
    call: ServiceCall,
    answer: Dispatcher.ResponseData,
): Promise<void> {
    const chunks: Buffer[] = [];
    const mayProveNotRun = engineRefusalStatuses.has(answer.statusCode);
    let length = 0;
    let pendingChunk: Buffer | undefined;
    try {
        for await (const chunk of answer.body as AsyncIterable<Buffer>) {
            length += chunk.length;
            const isRecorded = length <= maxRecordedBytes;
            if (isRecorded) {
                chunks.push(chunk);
            }
            if (mayProveNotRun && length <= maxProofBytes) {
                continue;
            }
            if (pendingChunk === undefined) {
                pendingChunk = Buffer.concat(isRecorded ? chunks : [...chunks, chunk]);
                continue;
            }
            if (!call.response.headersSent) {
                writeHead(call, answer, undefined);
            }
            await write(call.response, pendingChunk);
            pendingChunk = chunk;
        }
    }
    catch (failure) {
        dependencies.logger.warn("the answer of a service ended prematurely", {
            request: call.requestId,
            failure: String(failure),
        });
        await dependencies.runRecords.finish(run, "failedAfterStarting", undefined);
        throw failure;
    }
    const isProvenNotRun = mayProveNotRun && length <= maxProofBytes && isNotRunProof(Buffer.concat(chunks));
    const recorded = isProvenNotRun
        ? dependencies.runRecords.release(run)
        : dependencies.runRecords.finish(
            run,
            "answered",
            length <= maxRecordedBytes ? recordedAnswer(answer, chunks) : undefined,
        );
    await untilAborted(recorded, call.scope.signal, undefined);
    if (!call.response.headersSent) {
        writeHead(call, answer, isProvenNotRun ? "notRun" : undefined);
    }
    call.response.end(pendingChunk ?? Buffer.concat(chunks));
}

/** Outcome reported to the caller for a call whose answer ended prematurely. */
export const brokenAnswerOutcome: Outcome = "failedAfterStarting";

function recordedAnswer(answer: Dispatcher.ResponseData, chunks: readonly Buffer[]): StoredAnswer {
    const all = endToEnd(answer.headers);
    const headers: Record<string, string> = {};
    for (const name of recordedHeaders) {
        const value = all[name];
        if (typeof value === "string") {
            headers[name] = value;
        }
    }
    return { status: answer.statusCode, headers, body: Buffer.concat(chunks) };
}

/** A 503 status alone doesn't prove that the call wasn't executed: it may come from a component that timed out while waiting for another one. */
function isNotRunProof(body: Buffer): boolean {
    try {
        return engineRefusalSchema.safeParse(JSON.parse(body.toString())).success;
    }
    catch {
        return false;
    }
}

function write(response: ServerResponse, chunk: Buffer | undefined): Promise<void> {
    if (chunk === undefined || response.destroyed || response.write(chunk)) {
        return Promise.resolve();
    }
    return new Promise(resolve => {
        const end = () => {
            response.off("drain", end);
            response.off("close", end);
            resolve();
        };
        response.once("drain", end);
        response.once("close", end);
    });
}
