import * as http from "node:http";
import type { Socket } from "node:net";
import type { Randomness } from "../packages/basilpaddle/src/node/utils/index.js";
import type { RouteKind } from "../platform/src/standins/wire.js";
import { pause } from "../playground/harness/index.js";
import type { Member } from "./member.js";
import type { CallerEnd } from "./soakRequest.js";
import { longAttempt } from "./texts.js";

const kinds: readonly RouteKind[] = ["safe", "unsafe", "once", "resumable"];
/** Share of the requests whose body is sent slowly, and the time that it takes. */
const slowBodyProbability = 0.3;
const slowBodyMilliseconds = 1_800;
const retryMilliseconds = 200;

/** What a caller that keeps its connection sends. */
export type KeptRequest = {
    readonly gateway: Member;
    readonly kind: RouteKind;
    readonly attempt: string;
    readonly connection: http.Agent;
    /** Milliseconds that its body takes. */
    readonly bodyMilliseconds: number;
    /** Called with the connection that it is sent on. */
    readonly onSocket: (socket: Socket) => void;
};

/** Sends a request and waits for its end. */
export type SendKept = (request: KeptRequest) => Promise<CallerEnd>;

/** Callers with one connection each, on which they send one request after the other until it closes; their answers take long. */
export class KeptCallers {
    private readonly agents = new Set<http.Agent>();
    private readonly callers: Promise<void>[] = [];
    private isStopped = false;

    private constructor(
        private readonly send: SendKept,
        private readonly rotation: () => readonly Member[],
        private readonly random: Randomness,
    ) {}

    /** `rotation`: the gateways for new connections. */
    static create(send: SendKept, rotation: () => readonly Member[], random: Randomness): KeptCallers {
        return new KeptCallers(send, rotation, random);
    }

    start(count: number): void {
        for (let number = 0; number < count; number++) {
            this.callers.push(this.run(number));
        }
    }

    /** Lets all callers go on to the end of their requests, and send no more. */
    async stop(): Promise<void> {
        this.isStopped = true;
        await Promise.all(this.callers);
        this.agents.forEach(agent => agent.destroy());
    }

    private async run(caller: number): Promise<void> {
        let connection: http.Agent | undefined;
        let socket: Socket | undefined;
        let gateway = this.rotation()[0]!;
        await pause(this.random.fraction() * 2_000);
        for (let number = 0; !this.isStopped; number++) {
            if (connection === undefined || socket?.destroyed !== false) {
                connection?.destroy();
                connection = new http.Agent({ keepAlive: true, maxSockets: 1 });
                this.agents.add(connection);
                const candidates = this.rotation();
                gateway = candidates[this.random.integer(0, candidates.length - 1)]!;
            }
            const end = await this.send({
                gateway,
                kind: kinds[this.random.integer(0, kinds.length - 1)]!,
                attempt: longAttempt(`${caller}-${number}`),
                connection,
                bodyMilliseconds: this.random.fraction() < slowBodyProbability ? slowBodyMilliseconds : 0,
                onSocket: used => {
                    socket = used;
                },
            });
            if (end.kind !== "answered" || end.status !== 200) {
                await pause(retryMilliseconds);
            }
        }
    }
}
