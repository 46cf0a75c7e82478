import { expect } from "chai";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import * as path from "node:path";
import { formatFinding } from "../../../protocol/index.js";
import { type ConfigurationFile, Folder, readFolder } from "../folder.js";
import { loadConfiguration } from "../loading.js";
import { mergeFiles } from "../merge.js";

const drafting = {
    pools: {
        drafting: { models: [{ name: "draft-l", version: "3" }], copies: { prefill: 2, decode: 4 } },
    },
};
const policy = {
    services: { policy: { pathPrefix: "/policy" } },
    organisations: { landlord: { share: 2 } },
    routes: { letters: { model: "draft-l", nonIdempotent: true } },
};

function file(name: string, value: unknown): ConfigurationFile {
    return { name, text: typeof value === "string" ? value : JSON.stringify(value, undefined, 2) };
}

function findingsOf(...files: ConfigurationFile[]): string[] {
    return mergeFiles(files).swap().orDefault([]).map(formatFinding);
}

describe("configuration folder", () => {
    let root: string;
    beforeEach(async () => {
        root = await mkdtemp(path.join(tmpdir(), "basilpaddle-configuration-"));
    });
    afterEach(() => rm(root, { recursive: true, force: true }));

    it("merges files in the order of their names and ignores editors' files", async () => {
        await writeFile(path.join(root, "20-policy.json"), JSON.stringify(policy));
        await writeFile(path.join(root, "10-drafting.json"), JSON.stringify(drafting));
        await writeFile(path.join(root, ".10-drafting.json.swp"), "half");
        await writeFile(path.join(root, "10-drafting.json~"), "old");
        const loaded = (await loadConfiguration(root)).unsafeCoerce();
        expect(loaded.files.map(found => found.name)).to.deep.equal(["10-drafting.json", "20-policy.json"]);
        expect(loaded.ignored).to.deep.equal([".10-drafting.json.swp", "10-drafting.json~"]);
        expect(loaded.declaration.pools["drafting"]?.targets.firstToken).to.equal(1_500);
        expect(loaded.declaration.routes).to.deep.include({
            name: "letters",
            model: "draft-l",
            nonIdempotent: true,
            priority: 100,
            deadline: 600_000,
        });
    });

    it("reports the findings of all files together, each with its place", () => {
        const found = findingsOf(
            file("a.json", drafting),
            file("b.json", "{\n  \"pools\": {,\n}"),
            file("c.json", { services: { policy: { pathPrefix: "policy" } }, colour: 1 }),
            file("d.json", { pools: { drafting: drafting.pools.drafting } }),
        );
        expect(found).to.have.length(4);
        expect(found[0]).to.match(/^b\.json: line 2, column 13: isn't well-formed JSON/);
        expect(found.join("\n")).to.match(/c\.json: services\.policy\.pathPrefix \(line 4, column 21\)/);
        expect(found.join("\n")).to.match(/c\.json: .*colour/);
        expect(found.join("\n")).to.match(/d\.json: pools\.drafting .* is also defined in a\.json, at /);
    });

    it("reports duplicate definitions of routes, services, organisations and anyOrganisation", () => {
        const rest = { ...policy, anyOrganisation: { share: 1 } };
        const found = findingsOf(file("a.json", drafting), file("b.json", rest), file("c.json", rest));
        const duplicates = found.filter(line => line.includes("is also defined in b.json"));
        expect(duplicates).to.have.length(4);
    });

    it("reports a duplicate name in one file, where the last value would win silently", () => {
        const [finding] = findingsOf(file("a.json", "{\"pools\": {}, \"pools\": {}}"));
        expect(finding).to.match(/^a\.json: pools \(line 1, column 15\): is defined twice/);
    });

    it("reports errors that only show across files", () => {
        const found = findingsOf(
            file("a.json", drafting),
            file("b.json", { routes: { other: { model: "draft-xl" } } }),
            file("c.json", {
                pools: { second: { models: [{ name: "draft-l", version: "3" }], copies: { prefill: 0, decode: 1 } } },
                services: {
                    one: { host: "a.example", pathPrefix: "/x/" },
                    two: { host: "A.example", pathPrefix: "/x" },
                    three: { pathPrefix: "/v1/models" },
                },
            }),
        );
        expect(found.join("\n")).to.match(/b\.json: routes\.other .*names model draft-xl, which no pool declares/);
        expect(found.join("\n")).to.match(/c\.json: pools\.second .*floor of 1 prefill is above the 0 declared/);
        expect(found.join("\n")).to.match(/c\.json: pools\.second .*model draft-l is also declared by pool drafting/);
        expect(found.join("\n")).to.match(/c\.json: services\.two .*overlaps with service one/);
        expect(found.join("\n")).to.match(/c\.json: services\.three .*is under \/v1\/models/);
        expect(found).to.have.length(5);
    });

    it("doesn't report a model as unknown when another file is malformed", () => {
        const found = findingsOf(file("a.json", "{"), file("b.json", policy));
        expect(found).to.have.length(1);
        expect(found[0]).to.match(/^a\.json/);
    });

    it("rejects an empty folder and a missing folder", async () => {
        expect((await loadConfiguration(root)).isLeft()).to.equal(true);
        expect((await loadConfiguration(path.join(root, "missing"))).isLeft()).to.equal(true);
    });
});

/** A folder whose content changes right after its first file is read. */
class ChangingFolder extends Folder {
    private constructor(private contents: Map<string, string>, private readonly later: ReadonlyMap<string, string>) {
        super();
    }

    static create(before: Record<string, string>, later: Record<string, string>): ChangingFolder {
        return new ChangingFolder(new Map(Object.entries(before)), new Map(Object.entries(later)));
    }

    override names(): Promise<string[]> {
        return Promise.resolve([...this.contents.keys()]);
    }

    override fileStatus(name: string): Promise<{ isFile: boolean; bytes: number; fingerprint: string; }> {
        const text = this.text(name);
        return Promise.resolve({ isFile: true, bytes: text.length, fingerprint: text });
    }

    override read(name: string): Promise<Uint8Array> {
        const bytes = new TextEncoder().encode(this.text(name));
        this.contents = new Map(this.later);
        return Promise.resolve(bytes);
    }

    private text(name: string): string {
        const text = this.contents.get(name);
        if (text === undefined) {
            throw Object.assign(new Error("no such file"), { code: "ENOENT" });
        }
        return text;
    }
}

describe("a configuration folder that changes while it is read", () => {
    // Guards against pools that are removed although nobody removed them: a tool copies the folder, and `config apply`
    // reads it before the last file is complete. Files were read one after another without checking afterwards whether
    // any had changed.
    const cases = {
        "vanished": [{ "a.json": "{}", "b.json": "{}" }, { "a.json": "{}" }],
        "appeared": [{ "a.json": "{}" }, { "a.json": "{}", "b.json": "{}" }],
        "was changed": [{ "a.json": "{}" }, { "a.json": "{\"pools\":{}}" }],
    } as const;
    for (const [what, [before, later]] of Object.entries(cases)) {
        it(`is rejected when a file ${what}`, async () => {
            const read = await readFolder(ChangingFolder.create(before, later));
            const found = read.swap().orDefault([]).map(formatFinding).join("\n");
            expect(found).to.include(`${what} while the folder was read`);
        });
    }
});
