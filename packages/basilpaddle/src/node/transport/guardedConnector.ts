import { Socket } from "node:net";
import { buildConnector } from "undici";
import { AnswerGuard, type AnswerGuardOptions } from "./answerGuard.js";
import { reportResets } from "./connectionEnd.js";

/** Bounds of the answers on a connection. */
export type GuardedBounds = Omit<AnswerGuardOptions, "onExceeded">;

/** The usual connector of undici, whose connections are guarded and report their resets. `timeout`: milliseconds for establishing one. */
export function guardedConnector(timeout: number, bounds: GuardedBounds): buildConnector.connector {
    const connect = buildConnector({ timeout });
    return (options, callback) => {
        connect(options, (...result) => {
            const socket: unknown = result[1];
            if (socket instanceof Socket) {
                reportResets(socket);
                AnswerGuard.attach(socket, {
                    ...bounds,
                    onExceeded: (bound, bytes) => new Error(describe(bound, bytes)),
                });
            }
            callback(...result);
        });
    };
}

function describe(bound: string, bytes: Buffer): string {
    return `the answer exceeds ${bound}; it begins with ${JSON.stringify(bytes.toString("latin1"))}`;
}
