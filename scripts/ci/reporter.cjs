// Mocha's usual report, and what became of each test as JSON in the file that the variable names.
const { writeFileSync } = require("node:fs");
const path = require("node:path");
const { inspect } = require("node:util");
const { reporters, Runner } = require("mocha");

const reportVariable = "BASILPADDLE_TEST_REPORT";
const { EVENT_RUN_END, EVENT_TEST_FAIL, EVENT_TEST_PASS } = Runner.constants;

/** The file of a test, or of the suite that a hook belongs to. */
function fileOf(test) {
    return test.file ?? (test.parent === undefined ? undefined : fileOf(test.parent));
}

/** Message, what an assertion found, and stack. */
function describe(error) {
    const found = error.actual === undefined ? "" : inspect(error.actual, { depth: 6, breakLength: Infinity });
    return [error.message ?? String(error), found, error.stack ?? ""].join("\n");
}

class Reporter extends reporters.Spec {
    constructor(runner, options) {
        super(runner, options);
        const report = [];
        const note = (test, error) => {
            const file = fileOf(test);
            report.push({
                file: file === undefined ? "" : path.relative(process.cwd(), file),
                title: test.title,
                failure: error === undefined ? undefined : describe(error),
            });
        };
        runner.on(EVENT_TEST_PASS, test => note(test, undefined));
        runner.on(EVENT_TEST_FAIL, (test, error) => note(test, error));
        // Written at the end only: a run that is broken off leaves no report, and counts as failed.
        runner.once(EVENT_RUN_END, () => {
            if (process.env[reportVariable] !== undefined) {
                writeFileSync(process.env[reportVariable], JSON.stringify(report));
            }
        });
    }
}

module.exports = Reporter;
