// Passes a failed test run whose failures all stand in KNOWN-RED.txt, and prints them; fails any other.
// Usage: tsx scripts/ci/passKnownRed.ts REPORT KNOWN-RED EXIT-CODE
import { existsSync, readFileSync } from "node:fs";
import { z } from "zod";
import { judge, readKnownRed, testResultSchema } from "./knownRed.js";

const [report = "", list = "", exitCode = ""] = process.argv.slice(2);
if (!existsSync(report) || readFileSync(report, "utf8") === "") {
    console.error("The tests didn't come to their end.");
    process.exit(1);
}
const results = z.array(testResultSchema).parse(JSON.parse(readFileSync(report, "utf8")));
const known = readKnownRed(existsSync(list) ? readFileSync(list, "utf8") : "");
const { unknown, passedOver, nowGreen, missing } = judge(results, known);
const name = ({ file, title }: { readonly file: string; readonly title: string; }): string => `- ${file} "${title}"`;
for (
    const [heading, tests] of [
        ["Failed, and not known:", unknown],
        ["Known red, passed over:", passedOver],
        ["Listed as known red, passed this time:", nowGreen],
        ["Listed as known red, didn't run:", missing],
    ] as const
) {
    if (tests.length > 0) {
        console.log(`${heading}\n${tests.map(name).join("\n")}`);
    }
}
const isFailureExplained = exitCode === "0" || passedOver.length > 0;
process.exit(unknown.length === 0 && isFailureExplained ? 0 : 1);
