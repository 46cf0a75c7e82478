import * as http from "node:http";
import { FakePlacement } from "../../../../../../../simulation/requests/fakePlacement.js";
import { announcement, FakeControl, FakeEngine, viewOf } from "../../../../../../../simulation/requests/fakes.js";
import { HeldRequests } from "../../../coordination/index.js";
import { entrySettingsSchema, holdRulesSchema } from "../../../protocol/index.js";
import { createSilentLogger, SilentMetrics, SystemClock, SystemRandomness } from "../../../utils/index.js";
import { EntryDaemon } from "../entryDaemon.js";

/** An answer as a caller sees it. */
export type Reply = {
    readonly status: number;
    readonly headers: http.IncomingHttpHeaders;
    readonly body: string;
    /** The connection broke before the end of the answer. */
    readonly broken: boolean;
};

/** One entry daemon on ports of the system's choice, with fakes for all that it talks to. */
export class Bench {
    private constructor(
        readonly daemon: EntryDaemon,
        readonly control: FakeControl,
        readonly placement: FakePlacement,
        readonly engines: readonly FakeEngine[],
    ) {}

    static async create(limits: object = {}, declaration: object = {}): Promise<Bench> {
        const engines = ["p1:prefill", "p2:prefill", "d1:decode", "d2:decode"].map(name => {
            const [id, role] = name.split(":") as [string, "prefill" | "decode"];
            return new FakeEngine(announcement(id, role));
        });
        const control = new FakeControl(viewOf(engines.map(engine => engine.announcement), declaration));
        const placement = new FakePlacement(engines);
        const any = { host: "127.0.0.1", port: 0 };
        const daemon = await EntryDaemon.create({
            settings: entrySettingsSchema.parse({
                role: "entry",
                name: "entry-1",
                failureDomain: "pocitos",
                operators: any,
                peers: any,
                callers: any,
                backends: any,
                controls: [{ name: "control-1", host: "127.0.0.1", port: 1 }],
                limits,
            }),
            control,
            placement,
            held: HeldRequests.create({
                rules: holdRulesSchema.parse({}),
                tell: () => undefined,
                clock: SystemClock.create(),
                logger: createSilentLogger(),
            }),
            engines: url => engines.find(engine => engine.announcement.url === url) as FakeEngine,
            clock: SystemClock.create(),
            randomness: SystemRandomness.create(),
            logger: createSilentLogger(),
            metrics: SilentMetrics.create(),
        });
        return new Bench(daemon, control, placement, engines);
    }

    engine(id: string): FakeEngine {
        return this.engines.find(engine => engine.announcement.id === id) as FakeEngine;
    }

    /** Attempts that still hold something anywhere. */
    held(): number {
        return this.placement.reserved.size + this.engines.reduce((sum, engine) => sum + engine.holds.size, 0);
    }

    /** Opens a request and leaves it to the test to send and to read it. */
    open(path: string, headers: http.OutgoingHttpHeaders, port = this.daemon.callerPort()): http.ClientRequest {
        return http.request({ host: "127.0.0.1", port, path, method: "POST", headers, agent: false });
    }

    send(path: string, body: unknown, headers: http.OutgoingHttpHeaders = {}, port?: number): Promise<Reply> {
        const request = this.open(path, headers, port);
        const reply = replyOf(request);
        request.end(typeof body === "string" ? body : JSON.stringify(body));
        return reply;
    }

    chat(fields: object = {}, headers: http.OutgoingHttpHeaders = {}): Promise<Reply> {
        return this.send("/v1/chat/completions", chatBody(fields), headers);
    }

    async get(path: string): Promise<Reply> {
        const request = http.request({ host: "127.0.0.1", port: this.daemon.callerPort(), path, agent: false });
        request.end();
        return replyOf(request);
    }
}

export function chatBody(fields: object = {}): object {
    return { model: "draft", messages: [{ role: "user", content: "a dossier" }], ...fields };
}

/** The whole reply to a request; one that breaks off is marked as broken. */
export function replyOf(request: http.ClientRequest): Promise<Reply> {
    return new Promise((resolve, reject) => {
        request.on("error", reject);
        request.on("response", response => {
            const { statusCode: status = 0, headers } = response;
            let body = "";
            response.setEncoding("utf8").on("data", (chunk: string) => {
                body += chunk;
            });
            response.on("error", () => undefined);
            response.on("close", () => resolve({ status, headers, body, broken: !response.complete }));
        });
    });
}

/** The text of a streamed answer. */
export function streamedText(reply: Reply): string {
    return reply.body.split("\n\n")
        .filter(event => event.startsWith("data: {"))
        .map(event => JSON.parse(event.slice(6)).choices[0]?.delta?.content ?? "")
        .join("");
}
