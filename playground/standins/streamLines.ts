import { once } from "node:events";
import type { ServerResponse } from "node:http";
import { type DecodeBatch, type Decoding, notifyWaiters } from "./decodeBatch.js";
import type { Faults } from "./faults.js";

/** Streams an answer from the offset on as it is produced, with one JSON object per line. */
export async function streamLines(
    response: ServerResponse,
    batch: DecodeBatch,
    decoding: Decoding,
    offset: number,
    faults: Faults,
): Promise<void> {
    const disconnected = new AbortController();
    response.on("close", () => {
        disconnected.abort();
        notifyWaiters(decoding);
    });
    response.writeHead(200, { "content-type": "application/x-ndjson" });
    const fault = faults.takeStreamFault();
    let nextOffset = offset;
    for (let ended = false; !ended && !disconnected.signal.aborted;) {
        const lines = await batch.lines(decoding, nextOffset, disconnected.signal);
        const allowed = fault === undefined ? lines.length : Math.max(0, offset + fault.afterTokens! - nextOffset);
        const written = lines.slice(0, allowed);
        nextOffset += written.filter(({ kind }) => kind === "token").length;
        const flushed = response.write(written.map(line => `${JSON.stringify(line)}\n`).join(""));
        if (fault !== undefined && allowed <= lines.length) {
            faults.injectInto(fault, response);
            return;
        }
        ended = written.some(({ kind }) => kind !== "token");
        if (!flushed && !disconnected.signal.aborted) {
            await Promise.race([once(response, "drain"), once(disconnected.signal, "abort")]);
        }
    }
    response.end();
}
