// Exits with code 0 if the test run passed, or if KNOWN-RED.txt lists all its failures; prints the failures. Exits with 1 otherwise.
// Usage: tsx scripts/ci/passKnownRed.ts REPORT KNOWN-RED EXIT-CODE, where EXIT-CODE is the exit code of the test run
import { existsSync, readFileSync } from "node:fs";
import { z } from "zod";
import { classifyResults, parseKnownFailures, testResultSchema } from "./knownRed.js";

const [report = "", list = "", exitCode = ""] = process.argv.slice(2);
if (!existsSync(report) || readFileSync(report, "utf8") === "") {
    console.error("The test run ended before it wrote its report.");
    process.exit(1);
}
const results = z.array(testResultSchema).parse(JSON.parse(readFileSync(report, "utf8")));
const listed = parseKnownFailures(existsSync(list) ? readFileSync(list, "utf8") : "");
const { unexpected, known, nowPassing, notRun } = classifyResults(results, listed);
const formatTest = ({ file, title }: { readonly file: string; readonly title: string; }): string =>
    `- ${file} "${title}"`;
for (
    const [heading, tests] of [
        ["Failed, and not known:", unexpected],
        ["Known red, passed over:", known],
        ["Listed as known red, passed this time:", nowPassing],
        ["Listed as known red, didn't run:", notRun],
    ] as const
) {
    if (tests.length > 0) {
        console.log(`${heading}\n${tests.map(formatTest).join("\n")}`);
    }
}
const isFailureExplained = exitCode === "0" || known.length > 0;
process.exit(unexpected.length === 0 && isFailureExplained ? 0 : 1);
