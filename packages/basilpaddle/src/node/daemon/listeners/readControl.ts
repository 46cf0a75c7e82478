import type { Socket } from "node:net";

type Handle = { reading: boolean; readStart(): void; readStop(): void; };

/**
 * Stops reading from the operating system while a socket is paused, as Node's HTTP server does for the sockets that it reads itself. A paused
 * stream would take another block of 64 KiB first.
 */
export function readOnlyWhileFlowing(socket: Socket): void {
    const handleOf = (): Handle | undefined => (socket as Socket & { readonly _handle?: Handle; })._handle;
    socket.on("pause", () => {
        const handle = handleOf();
        if (handle?.reading === true) {
            handle.reading = false;
            handle.readStop();
        }
    });
    socket.on("resume", () => {
        const handle = handleOf();
        if (handle?.reading === false && !socket.isPaused()) {
            handle.reading = true;
            handle.readStart();
        }
    });
}
