import type { CallResponse } from "../../packages/basilpaddle/src/node/daemon/directory/callServer.js";
import { incarnationOf, type ServerAnnouncement } from "../../packages/basilpaddle/src/node/protocol/index.js";
import type { DepartureKind } from "./day.js";
import { callsAddress, heartbeatMilliseconds, type ServerCall, type World } from "./processes.js";

/** Service of all emulated servers. */
export const service = "plain";
/** How long a directory may take to acknowledge a call before the next one is called. */
const callTimeoutMilliseconds = 1_000;
/** Pause before the directories are called again after none has acknowledged. */
const callPauseMilliseconds = 200;
/** Time that a server serves on after its leaving was acknowledged. */
const servesOnMilliseconds = 10_000;

type AnnouncedState = "ready" | "draining";

/** A backend server: it sends heartbeats to one directory until that fails, and leaves in the ways that are allowed. */
export class EmulatedServer {
    /** When a directory acknowledged that it leaves. */
    acknowledgedAt: number | undefined;
    private sequence = 0;
    private state: AnnouncedState = "ready";
    private sendsHeartbeats = true;
    private directory: number;
    private hasExited = false;

    private constructor(
        private readonly world: World,
        readonly number: number,
        readonly startedAt: number,
    ) {
        this.directory = number % world.directories.length;
    }

    /** Starts a server, whose first heartbeat is sent after `firstHeartbeat` milliseconds. */
    static create(world: World, number: number, firstHeartbeat: number): EmulatedServer {
        const server = new EmulatedServer(world, number, world.clock.wall());
        world.clock.after(firstHeartbeat, () => void server.sendHeartbeats());
        return server;
    }

    get name(): string {
        return `server-${this.number}`;
    }

    get id(): string {
        return incarnationOf(this.name, this.startedAt);
    }

    /** Whether it still serves. */
    isServing(): boolean {
        return !this.hasExited;
    }

    /** Ends without a word. */
    crash(): void {
        this.hasExited = true;
        this.sendsHeartbeats = false;
    }

    /** Sends no more heartbeats, though it serves on. */
    fallSilent(): void {
        this.sendsHeartbeats = false;
    }

    /** Leaves in the given way; the first directory to call is given by number. */
    async leave(kind: DepartureKind, directory: number): Promise<void> {
        if (kind === "draining") {
            this.state = "draining";
        }
        else {
            this.sendsHeartbeats = false;
        }
        const call = (): ServerCall => kind === "draining" ? this.heartbeat() : this.leaveCall(kind);
        while (!await this.callInTurn(directory, call)) {
            await this.pause(callPauseMilliseconds);
        }
        this.acknowledgedAt = this.world.clock.monotonic();
        await this.pause(servesOnMilliseconds);
        this.crash();
        await this.callInTurn(directory + 1, () => this.leaveCall("leaveFirst"));
    }

    /** A heartbeat with the next sequence number, for a call that is delivered later. */
    heartbeat(): ServerCall {
        this.sequence += 1;
        const announced: ServerAnnouncement = {
            id: this.id,
            name: this.name,
            startedAt: this.startedAt,
            service,
            address: `10.9.0.${this.number}:80`,
            failureDomain: "a",
            slots: 4,
            state: this.state,
            sequence: this.sequence,
        };
        return { kind: "announce", announced };
    }

    /** The call that it leaves. */
    leaveCall(kind: Exclude<DepartureKind, "draining">): ServerCall {
        const departure = kind === "leaveFirst" ? { name: this.name } : { name: this.name, startedAt: this.startedAt };
        return { kind: "leave", departure };
    }

    /** Calls one directory; returns whether it acknowledged. */
    async call(directory: number, call: ServerCall): Promise<boolean> {
        const { network, directories } = this.world;
        const to = callsAddress(directories[directory % directories.length]!);
        const answer = await network.request(this.name, to, call, callTimeoutMilliseconds);
        return (answer.toMaybe().extract() as CallResponse | undefined)?.kind === "done";
    }

    /** Sends its next heartbeats to another directory, as after one failed. */
    moveHeartbeats(directory: number): void {
        this.directory = directory;
    }

    /** Calls the next directory at once if one doesn't acknowledge. */
    private async sendHeartbeat(): Promise<void> {
        for (let tried = 0; tried < this.world.directories.length; tried++) {
            if (await this.call(this.directory, this.heartbeat())) {
                return;
            }
            this.directory += 1;
        }
    }

    private async sendHeartbeats(): Promise<void> {
        while (this.sendsHeartbeats) {
            await this.sendHeartbeat();
            await this.pause(heartbeatMilliseconds);
        }
    }

    private async callInTurn(first: number, call: () => ServerCall): Promise<boolean> {
        for (let number = first; number < first + this.world.directories.length; number++) {
            if (await this.call(number, call())) {
                return true;
            }
        }
        return false;
    }

    private pause(milliseconds: number): Promise<void> {
        return new Promise(resolve => this.world.clock.after(milliseconds, resolve));
    }
}
