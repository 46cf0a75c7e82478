import * as http from "node:http";
import { FakePlacement } from "../../../../../../../simulation/requests/fakePlacement.js";
import { announcement, FakeControl, FakeEngine, viewOf } from "../../../../../../../simulation/requests/fakes.js";
import { QuarantinedRequests } from "../../../coordination/index.js";
import { entrySettingsSchema, quarantineRulesSchema } from "../../../protocol/index.js";
import { createSilentLogger, SilentMetrics, SystemClock, SystemRandomness } from "../../../utils/index.js";
import { createSilentGuard } from "../../__tests__/silentGuard.js";
import { EntryDaemon } from "../entryDaemon.js";

/** An answer as received by a caller. */
export type Reply = {
    readonly status: number;
    readonly headers: http.IncomingHttpHeaders;
    readonly body: string;
    /** Whether the connection failed before the end of the answer. */
    readonly broken: boolean;
};

/** An entry daemon on ephemeral ports, with fakes for everything that it communicates with. */
export class EntryHarness {
    private constructor(
        readonly daemon: EntryDaemon,
        readonly control: FakeControl,
        readonly placement: FakePlacement,
        readonly engines: readonly FakeEngine[],
    ) {}

    static async create(limits: object = {}, declaration: object = {}): Promise<EntryHarness> {
        const engines = ["p1:prefill", "p2:prefill", "d1:decode", "d2:decode"].map(name => {
            const [id, role] = name.split(":") as [string, "prefill" | "decode"];
            return new FakeEngine(announcement(id, role));
        });
        const control = new FakeControl(viewOf(engines.map(engine => engine.announcement), declaration));
        const placement = new FakePlacement(engines);
        const ephemeral = { host: "127.0.0.1", port: 0 };
        const daemon = await EntryDaemon.create({
            settings: entrySettingsSchema.parse({
                role: "entry",
                name: "entry-1",
                failureDomain: "pocitos",
                operators: ephemeral,
                peers: ephemeral,
                callers: ephemeral,
                backends: ephemeral,
                controls: [{ name: "control-1", host: "127.0.0.1", port: 1 }],
                limits,
            }),
            control,
            placement,
            quarantinedRequests: QuarantinedRequests.create({
                rules: quarantineRulesSchema.parse({}),
                publishRecords: () => undefined,
                clock: SystemClock.create(),
                logger: createSilentLogger(),
            }),
            engines: url => engines.find(engine => engine.announcement.url === url) as FakeEngine,
            clock: SystemClock.create(),
            randomness: SystemRandomness.create(),
            logger: createSilentLogger(),
            metrics: SilentMetrics.create(),
            guard: createSilentGuard(),
        });
        return new EntryHarness(daemon, control, placement, engines);
    }

    engine(id: string): FakeEngine {
        return this.engines.find(engine => engine.announcement.id === id) as FakeEngine;
    }

    /** Number of reservations and of attempts that engines still hold. */
    allocatedAttempts(): number {
        return this.placement.reserved.size
            + this.engines.reduce((sum, engine) => sum + engine.attemptsHoldingResources.size, 0);
    }

    /** Opens a request; the test sends its body and reads the answer. */
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

/** Reads the whole reply to a request; an incomplete reply is marked as broken. */
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

/** Concatenates the text of a streamed answer. */
export function streamedText(reply: Reply): string {
    return reply.body.split("\n\n")
        .filter(event => event.startsWith("data: {"))
        .map(event => JSON.parse(event.slice(6)).choices[0]?.delta?.content ?? "")
        .join("");
}
