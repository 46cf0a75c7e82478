import { expect } from "chai";
import { mkdtemp, rm, utimes, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import * as path from "node:path";
import { until } from "../../../../../../../simulation/until.js";
import { createSilentLogger } from "../../../utils/index.js";
import { readRoutingSettings } from "../routingSettings.js";
import { SeedReload } from "../seedReload.js";
import { resolveSettings } from "../settings.js";
import { readWhenComplete } from "../settingsFile.js";

const gateway = {
    role: "gateway",
    name: "gateway-1",
    failureDomain: "pocitos",
    host: "127.0.0.1",
    peerPort: 7101,
    callers: "127.0.0.1:7102",
    readiness: "127.0.0.1:7103",
    seeds: ["127.0.0.1:7104"],
    metricsPort: 0,
    shutdownTime: 8,
    repeats: { ratio: 0.2, window: 10, slack: 50 },
};
const entry = {
    role: "entry",
    name: "entry-1",
    failureDomain: "pocitos",
    operators: { host: "127.0.0.1", port: 0 },
    peers: { host: "127.0.0.1", port: 0 },
    callers: { host: "127.0.0.1", port: 0 },
    backends: { host: "127.0.0.1", port: 0 },
    controls: [{ name: "control-1", host: "127.0.0.1", port: 7101 }],
};

describe("a settings file that is written while a daemon starts", () => {
    let folder: string;
    let file: string;
    let notices: string[];
    beforeEach(async () => {
        folder = await mkdtemp(path.join(tmpdir(), "basilpaddle-settings-"));
        file = path.join(folder, "settings.json");
        notices = [];
    });
    afterEach(() => rm(folder, { recursive: true, force: true }));

    const notice = ({ cause }: { readonly cause: string; }): void => void notices.push(cause);

    /** Writes the file in steps, as a slow writer does; the last step completes it. */
    async function writeLater(text: string): Promise<void> {
        for (const fraction of [0.3, 0.6, 1]) {
            await new Promise(resolve => setTimeout(resolve, 120));
            await writeFile(file, text.slice(0, Math.floor(fraction * text.length)));
        }
    }

    const initialContents: readonly (readonly [string, string | undefined])[] = [
        ["absent", undefined],
        ["empty", ""],
        ["truncated", JSON.stringify(gateway).slice(0, 40)],
    ];
    for (const [state, text] of initialContents) {
        // Guards against a daemon that exits with findings because its settings were still being written when it started.
        it(`is waited for while it is ${state}`, async () => {
            if (text !== undefined) {
                await writeFile(file, text);
            }
            const [read] = await Promise.all([readRoutingSettings(file, notice), writeLater(JSON.stringify(gateway))]);
            expect(read.map(({ name }) => name).extract()).to.equal("gateway-1");
            expect(notices).to.have.length(1);
            await writeFile(file, text ?? "");
            const [resolved] = await Promise.all([resolveSettings(file, notice), writeLater(JSON.stringify(entry))]);
            expect(resolved.map(({ name }) => name).extract()).to.equal("entry-1");
        });
    }

    it("is read without waiting if it is complete, whether valid or not", async () => {
        await writeFile(file, "{}");
        expect((await readRoutingSettings(file, notice)).isLeft()).to.equal(true);
        expect(notices).to.deep.equal([]);
    });

    it("is rejected, with the place of the error, once it stays incomplete without changing", async () => {
        await writeFile(file, "{\"role\": ");
        const [read, missing] = await Promise.all([
            resolveSettings(file, notice),
            readWhenComplete(path.join(folder, "none.json"), notice),
        ]);
        expect(read.swap().orDefault([])[0]?.cause).to.contain("isn't well-formed JSON");
        expect(missing.swap().map(({ cause }) => cause).orDefault("")).to.contain("can't be read");
        expect(notices).to.have.length(2);
    });

    // Guards against changed seeds that are never read because the file was written twice within one tick of the file system's
    // clock, which leaves its modification time the same.
    it("is reread by a running daemon even if its modification time is unchanged", async () => {
        const at = new Date(1_700_000_000_000);
        const write = async (text: string): Promise<void> => {
            await writeFile(file, text);
            await utimes(file, at, at);
        };
        await write(JSON.stringify(gateway));
        const settings = (await readRoutingSettings(file, notice)).unsafeCoerce();
        const reload = SeedReload.create(settings, file, createSilentLogger());
        try {
            for (const seed of ["127.0.0.2", "127.0.0.3"]) {
                await write("{\"role\": ");
                process.emit("SIGHUP");
                await new Promise(resolve => setTimeout(resolve, 200));
                await write(JSON.stringify({ ...gateway, seeds: [`${seed}:7104`] }));
                await until("the new seed", () => reload.seeds().join() === `${seed}:7101`);
            }
        }
        finally {
            reload.close();
        }
    });
});
