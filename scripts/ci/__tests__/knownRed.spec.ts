import { expect } from "chai";
import { spawnSync } from "node:child_process";
import { mkdtemp, readFile, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import * as path from "node:path";
import { judge, readKnownRed } from "../knownRed.js";

const list = `soak/soak.spec.ts "keeps every invariant"
  command: npm test
  fails with: directory-1 ended by itself
  seen: once.
a/b.spec.ts "without a line of its failure"
  command: npm test
`;
const red = {
    file: "soak/soak.spec.ts",
    title: "keeps every invariant",
    failure: "Error: directory-1 ended by itself",
};

describe("failures that are known", () => {
    it("are told by file, title and what was seen", () => {
        expect(judge([red], readKnownRed(list)).passedOver).to.deep.equal([red]);
    });

    const others = {
        "another fault of the same test": { ...red, failure: "Error: a request ran twice" },
        "a test of the same title in another file": { ...red, file: "other/soak.spec.ts" },
        "a test that isn't listed": { ...red, title: "keeps nothing" },
        "an entry that doesn't say what was seen": {
            file: "a/b.spec.ts",
            title: "without a line of its failure",
            failure: "Error: anything",
        },
    };
    for (const [name, failed] of Object.entries(others)) {
        // Guards against a CI run that passes over a fault that nobody knows.
        it(`aren't taken for ${name}`, () => {
            expect(judge([failed], readKnownRed(list)).unknown).to.deep.equal([failed]);
        });
    }

    it("are named once they pass or don't run", () => {
        const { nowGreen, missing } = judge([{ ...red, failure: undefined }], readKnownRed(list));
        expect(nowGreen.map(({ file }) => file)).to.deep.equal(["soak/soak.spec.ts"]);
        expect(missing.map(({ file }) => file)).to.deep.equal(["a/b.spec.ts"]);
    });

    describe("in a run of made-up tests", function() {
        this.timeout(60_000);
        let folder: string;
        before(async () => {
            folder = await mkdtemp(path.join(tmpdir(), "known-red-"));
        });
        after(() => rm(folder, { recursive: true, force: true }));

        /** Plays a test file under the project's reporter, and gives the exit code of the judgement. */
        async function play(known: string, message: string, exitCode = "1"): Promise<number | null> {
            const spec = path.join(folder, "made-up.spec.cjs");
            const report = path.join(folder, "report.json");
            const thrown = `Object.assign(new Error("not equal"), { actual: [{ what: ${JSON.stringify(message)} }] })`;
            await writeFile(spec, `it("fails", () => { throw ${thrown}; });`);
            await writeFile(path.join(folder, "known.txt"), known);
            await rm(report, { force: true });
            const env = { ...process.env, BASILPADDLE_TEST_REPORT: report };
            const reporter = ["--no-config", "--reporter", "scripts/ci/reporter.cjs"];
            spawnSync(process.execPath, ["node_modules/mocha/bin/mocha.js", ...reporter, spec], { env });
            expect(JSON.parse(await readFile(report, "utf8"))).to.have.length(1);
            const given = [
                "--import=tsx",
                "scripts/ci/passKnownRed.ts",
                report,
                path.join(folder, "known.txt"),
                exitCode,
            ];
            return spawnSync(process.execPath, given).status;
        }

        it("pass where they are listed, and no others do", async () => {
            const file = path.relative(process.cwd(), path.join(folder, "made-up.spec.cjs"));
            const known = `${file} "fails"\n  fails with: a known fault\n`;
            expect(await play(known, "a known fault")).to.equal(0);
            expect(await play(known, "another fault")).to.equal(1);
            expect(await play("", "a known fault")).to.equal(1);
        });
    });
});
