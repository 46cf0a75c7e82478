import { expect } from "chai";
import { spawnSync } from "node:child_process";
import { mkdtemp, readFile, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import * as path from "node:path";
import { classifyResults, parseKnownFailures } from "../knownRed.js";

const list = `soak/soak.spec.ts "keeps every invariant"
  command: npm test
  fails with: directory-1 ended by itself
  seen: once.
a/b.spec.ts "without failure text"
  command: npm test
`;
const failure = {
    file: "soak/soak.spec.ts",
    title: "keeps every invariant",
    failure: "Error: directory-1 ended by itself",
};

describe("known failures", () => {
    it("are identified by file, title and failure text", () => {
        expect(classifyResults([failure], parseKnownFailures(list)).known).to.deep.equal([failure]);
    });

    const unexpectedFailures = {
        "another fault of the same test": { ...failure, failure: "Error: a request ran twice" },
        "a test of the same title in another file": { ...failure, file: "other/soak.spec.ts" },
        "a test that isn't listed": { ...failure, title: "keeps nothing" },
        "an entry without failure text": {
            file: "a/b.spec.ts",
            title: "without failure text",
            failure: "Error: anything",
        },
    };
    for (const [name, failed] of Object.entries(unexpectedFailures)) {
        // Guards against a CI run that passes with a failure that isn't known.
        it(`don't include ${name}`, () => {
            expect(classifyResults([failed], parseKnownFailures(list)).unexpected).to.deep.equal([failed]);
        });
    }

    it("are reported when they pass or don't run", () => {
        const { nowPassing, notRun } = classifyResults([{ ...failure, failure: undefined }], parseKnownFailures(list));
        expect(nowPassing.map(({ file }) => file)).to.deep.equal(["soak/soak.spec.ts"]);
        expect(notRun.map(({ file }) => file)).to.deep.equal(["a/b.spec.ts"]);
    });

    describe("in a real mocha run", function() {
        this.timeout(60_000);
        let folder: string;
        before(async () => {
            folder = await mkdtemp(path.join(tmpdir(), "known-red-"));
        });
        after(() => rm(folder, { recursive: true, force: true }));

        /** Runs a failing test with the project's reporter, and returns the exit code of passKnownRed.ts. */
        async function runCheck(list: string, message: string, exitCode = "1"): Promise<number | null> {
            const spec = path.join(folder, "failing.spec.cjs");
            const report = path.join(folder, "report.json");
            const thrown = `Object.assign(new Error("not equal"), { actual: [{ what: ${JSON.stringify(message)} }] })`;
            await writeFile(spec, `it("fails", () => { throw ${thrown}; });`);
            await writeFile(path.join(folder, "known.txt"), list);
            await rm(report, { force: true });
            const env = { ...process.env, BASILPADDLE_TEST_REPORT: report };
            const reporter = ["--no-config", "--reporter", "scripts/ci/reporter.cjs"];
            spawnSync(process.execPath, ["node_modules/mocha/bin/mocha.js", ...reporter, spec], { env });
            expect(JSON.parse(await readFile(report, "utf8"))).to.have.length(1);
            const checkArguments = [
                "--import=tsx",
                "scripts/ci/passKnownRed.ts",
                report,
                path.join(folder, "known.txt"),
                exitCode,
            ];
            return spawnSync(process.execPath, checkArguments).status;
        }

        it("pass if they are listed, and no other failures do", async () => {
            const file = path.relative(process.cwd(), path.join(folder, "failing.spec.cjs"));
            const list = `${file} "fails"\n  fails with: a known fault\n`;
            expect(await runCheck(list, "a known fault")).to.equal(0);
            expect(await runCheck(list, "another fault")).to.equal(1);
            expect(await runCheck("", "a known fault")).to.equal(1);
        });
    });
});
