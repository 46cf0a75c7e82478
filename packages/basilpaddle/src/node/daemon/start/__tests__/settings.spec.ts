import { expect } from "chai";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import * as path from "node:path";
import { formatFinding } from "../../../protocol/index.js";
import { resolveSettings } from "../settings.js";

const address = (port: number): object => ({ host: "127.0.0.1", port });
const control = {
    role: "control",
    name: "control-1",
    failureDomain: "pocitos",
    operators: address(0),
    peers: address(7101),
    controls: [{ name: "control-1", ...address(7101) }],
    dataFolder: "data",
};

describe("settings", () => {
    let root: string;
    beforeEach(async () => {
        root = await mkdtemp(path.join(tmpdir(), "basilpaddle-settings-"));
    });
    afterEach(() => rm(root, { recursive: true, force: true }));

    async function findings(value: unknown): Promise<string> {
        const file = path.join(root, "settings.json");
        await writeFile(file, typeof value === "string" ? value : JSON.stringify(value, undefined, 2));
        const resolved = await resolveSettings(file);
        return resolved.swap().orDefault([]).map(formatFinding).join("\n");
    }

    it("resolves to a frozen object with defaults and the data folder beside the file", async () => {
        const file = path.join(root, "settings.json");
        await writeFile(file, JSON.stringify(control));
        const settings = (await resolveSettings(file)).unsafeCoerce();
        expect(settings).to.deep.include({ role: "control", dataFolder: path.join(root, "data") });
        expect(settings.timing.viewLease).to.equal(3_000);
        expect(Object.isFrozen(settings)).to.equal(true);
        expect(Object.isFrozen(settings.timing)).to.equal(true);
        expect(Object.isFrozen(settings.controls[0])).to.equal(true);
    });

    it("returns all findings together with their place", async () => {
        const found = await findings({ ...control, peers: { host: "localhost", port: 99_999 }, colour: 1 });
        expect(found).to.match(/peers\.host \(line \d+, column \d+\)/);
        expect(found).to.match(/peers\.port/);
        expect(found).to.match(/colour/);
    });

    it("rejects a file that is missing or isn't JSON", async () => {
        const missing = await resolveSettings(path.join(root, "none.json"));
        expect(missing.isLeft()).to.equal(true);
        expect(await findings("{\"role\": ")).to.match(/line 1, column 10: isn't well-formed JSON/);
    });

    it("rejects timing under which two daemons could hold the same lease", async () => {
        const found = await findings({ ...control, timing: { viewLease: 3_000, sessionTimeout: 2_000 } });
        expect(found).to.match(
            /timing\.sessionTimeout .*too short.*another daemon could be granted leases that are still in use/,
        );
    });

    it("rejects a list of control daemons without this one, and duplicate names and addresses", async () => {
        const other = { name: "control-2", ...address(7102) };
        const found = await findings({ ...control, controls: [other, other] });
        expect(found).to.match(/controls .*doesn't list this control daemon/);
        expect(found).to.match(/controls\.1\.name .*listed twice/);
        expect(found).to.match(/controls\.1 .*address 127\.0\.0\.1:7102 is listed twice/);
    });
});
