import type { Socket } from "node:net";

/** Code of the error of a connection that its other side, or the path to it, reset. */
export const connectionResetCode = "RESET_BY_SERVER";
/** The same, of a reset that the runtime reported as an end. */
export const resetAtEndCode = "RESET_REPORTED_AS_END";

/** Codes of the operating system: a connection was reset, before or after a regular end. */
const resetCode = "ECONNRESET";
const resetAfterEndCode = "EPIPE";

/**
 * Reports each reset of a connection as an error with a code of its own, also a reset that the runtime reports as an end because it found it
 * together with the last bytes. undici takes the usual code of a reset for the end of an answer that has no length.
 */
export function reportResets(socket: Socket): void {
    confirmEnd(socket);
    socket.prependListener("error", (failure: NodeJS.ErrnoException) => {
        failure.code = failure.code === resetCode ? connectionResetCode : failure.code;
    });
}

/**
 * Emits the "end" of a connection only if the operating system still knows its peer, which it doesn't after a reset. Else an empty write fails with
 * the connection's error: after a reset without a regular end before it, there is an "error" in place of the "end". Nobody else may read the
 * socket's `remoteAddress` before: the runtime keeps it, also after a reset.
 */
export function confirmEnd(socket: Socket): void {
    const emit = socket.emit.bind(socket) as (event: string | symbol, ...values: unknown[]) => boolean;
    socket.emit = (event: string | symbol, ...values: unknown[]): boolean => {
        if (event !== "end" || !socket.writable || socket.remoteAddress !== undefined) {
            return emit(event, ...values);
        }
        socket.write("", failure => {
            const error = failure as NodeJS.ErrnoException | undefined;
            if (error?.code === resetCode) {
                error.code = resetAtEndCode;
            }
            else if (error?.code === undefined || error.code === resetAfterEndCode) {
                emit("end");
            }
        });
        return true;
    };
}
