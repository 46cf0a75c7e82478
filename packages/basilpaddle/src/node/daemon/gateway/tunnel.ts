import type { Socket } from "node:net";

/** A tunnel is idle if it has been quiet for this long since an answer; without a known answer, for the longer time. */
const idleMilliseconds = 600;
const unansweredIdleMilliseconds = 3_000;

/** A connection of another gateway and the one to a backend server that it is joined to. */
export class Tunnel {
    private requestBytes = 0;
    private answerBytes = 0;
    private isAnswered = false;
    private changedAt: number | undefined;

    private constructor(private readonly socket: Socket, private readonly upstream: Socket) {}

    static create(socket: Socket, upstream: Socket): Tunnel {
        return new Tunnel(socket, upstream);
    }

    /** Closes the tunnel if no call seems to be in progress. Call it repeatedly, since it compares the bytes forwarded so far. */
    closeIfIdle(now: number): void {
        const { bytesRead: requestBytes } = this.socket;
        const { bytesRead: answerBytes } = this.upstream;
        if (requestBytes !== this.requestBytes || answerBytes !== this.answerBytes) {
            this.isAnswered = answerBytes !== this.answerBytes && this.changedAt !== undefined;
            this.requestBytes = requestBytes;
            this.answerBytes = answerBytes;
            this.changedAt = now;
        }
        if (now - (this.changedAt ?? now) >= (this.isAnswered ? idleMilliseconds : unansweredIdleMilliseconds)) {
            this.socket.destroySoon();
        }
    }
}
