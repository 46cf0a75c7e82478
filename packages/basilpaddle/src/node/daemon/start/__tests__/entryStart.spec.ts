import { expect } from "chai";
import * as fs from "node:fs/promises";
import * as http from "node:http";
import { type AddressInfo, createServer } from "node:net";
import * as os from "node:os";
import * as path from "node:path";
import { controlSettingsSchema, entrySettingsSchema } from "../../../protocol/index.js";
import { createSilentLogger } from "../../../utils/index.js";
import { initialiseControl } from "../../control/index.js";
import { operatorAnswerSchema } from "../../operators/operatorWire.js";
import { startControl } from "../controlStart.js";
import { startEntry } from "../entryStart.js";
import type { RunningDaemon } from "../runningDaemon.js";

const host = "127.0.0.1";

/** Finds a free port by listening on it and closing it again. */
async function freeAddress(): Promise<{ readonly host: string; readonly port: number; }> {
    const server = createServer();
    await new Promise<void>(resolve => server.listen(0, host, resolve));
    const { port } = server.address() as AddressInfo;
    await new Promise(resolve => server.close(resolve));
    return { host, port };
}

async function until(description: string, condition: () => Promise<boolean>): Promise<void> {
    const end = Date.now() + 15_000;
    while (!(await condition())) {
        if (Date.now() > end) {
            throw new Error(`timed out waiting for ${description}`);
        }
        await new Promise(resolve => setTimeout(resolve, 20));
    }
}

describe("a started entry daemon", () => {
    let folder: string;
    let operators: Awaited<ReturnType<typeof freeAddress>>;
    let entryOperators: Awaited<ReturnType<typeof freeAddress>>;
    let callers: Awaited<ReturnType<typeof freeAddress>>;
    let control: RunningDaemon;
    let entry: RunningDaemon;
    let request: http.ClientRequest | undefined;

    beforeEach(async () => {
        folder = await fs.mkdtemp(path.join(os.tmpdir(), "basilpaddle-start-"));
        const peers = await freeAddress();
        operators = await freeAddress();
        entryOperators = await freeAddress();
        callers = await freeAddress();
        const common = { failureDomain: "hall-a", controls: [{ name: "control-1", ...peers }] };
        const settings = controlSettingsSchema.parse({
            ...common,
            role: "control",
            name: "control-1",
            peers,
            operators,
            dataFolder: folder,
        });
        await initialiseControl(settings, "test");
        control = await startControl(settings, createSilentLogger());
        const anyPort = { host, port: 0 };
        const entrySettings = entrySettingsSchema.parse({
            ...common,
            role: "entry",
            name: "entry-1",
            peers: anyPort,
            operators: entryOperators,
            callers,
            backends: anyPort,
        });
        entry = await startEntry(entrySettings, createSilentLogger());
        await until("the session", async () => (await sessions()).includes("entry-1"));
    });

    afterEach(async () => {
        request?.destroy();
        await entry.stop();
        await control.stop();
        await fs.rm(folder, { recursive: true, force: true });
    });

    async function sessions(): Promise<string[]> {
        const answer = await fetch(`http://${host}:${operators.port}/operator/v1/status?timeout=2000`);
        const parsed = operatorAnswerSchema.parse(await answer.json());
        return parsed.kind === "status" ? parsed.status.sessions.map(session => session.daemon) : [];
    }

    async function isDraining(): Promise<boolean> {
        const answer = await fetch(`http://${host}:${callers.port}/v1/models`);
        return (await answer.text()).includes("shuttingDown");
    }

    // Guards against a scheduler that cancels the streams of a daemon during its graceful shutdown. A daemon shut down while a
    // request was in progress, and its session was closed before the drain. An attempt that an engine lists without an open
    // session counts as abandoned, so it was cancelled.
    it("keeps its session until no request is in progress, and then closes it", async () => {
        const slowRequest = http.request({
            host,
            port: callers.port,
            method: "POST",
            path: "/v1/completions",
            headers: { "content-type": "application/json", "content-length": 1_000 },
        });
        request = slowRequest;
        const answered = new Promise<void>(resolve =>
            slowRequest.on("response", response => response.resume().on("end", resolve))
        );
        await new Promise<void>(resolve => slowRequest.write("{", () => resolve()));
        await until("the request to be in progress", async () => {
            const metrics = await fetch(`http://${host}:${entryOperators.port}/metrics`);
            return (await metrics.text()).includes("basilpaddle_open_requests 1");
        });
        const stopped = entry.stop();
        let ended = false;
        void stopped.then(() => ended = true);
        await until("the drain", isDraining);
        for (let count = 0; count < 20; count++) {
            expect([await sessions(), ended]).to.deep.equal([["entry-1"], false]);
        }
        slowRequest.end(" ".repeat(999));
        await answered;
        expect(await stopped).to.deep.equal({ abortedRequests: [] });
        expect(await sessions()).to.deep.equal([]);
    });
});
