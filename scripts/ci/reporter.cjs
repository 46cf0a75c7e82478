// Mocha's spec reporter, which also writes the result of each test as JSON to the file that BASILPADDLE_TEST_REPORT names.
const { writeFileSync } = require("node:fs");
const path = require("node:path");
const { inspect } = require("node:util");
const { reporters, Runner } = require("mocha");

const reportVariable = "BASILPADDLE_TEST_REPORT";
const { EVENT_RUN_END, EVENT_TEST_FAIL, EVENT_TEST_PASS } = Runner.constants;

/** Finds the file of a test, or of the suite that a hook belongs to. */
function findFile(test) {
    return test.file ?? (test.parent === undefined ? undefined : findFile(test.parent));
}

/** Joins an error's message, the actual value of a failed assertion, and the stack. */
function formatError(error) {
    const actual = error.actual === undefined ? "" : inspect(error.actual, { depth: 6, breakLength: Infinity });
    return [error.message ?? String(error), actual, error.stack ?? ""].join("\n");
}

class Reporter extends reporters.Spec {
    constructor(runner, options) {
        super(runner, options);
        const report = [];
        const addResult = (test, error) => {
            const file = findFile(test);
            report.push({
                file: file === undefined ? "" : path.relative(process.cwd(), file),
                title: test.title,
                failure: error === undefined ? undefined : formatError(error),
            });
        };
        runner.on(EVENT_TEST_PASS, test => addResult(test, undefined));
        runner.on(EVENT_TEST_FAIL, (test, error) => addResult(test, error));
        // Written only at the end of the run: an aborted run leaves no report, and passKnownRed.ts treats it as failed.
        runner.once(EVENT_RUN_END, () => {
            if (process.env[reportVariable] !== undefined) {
                writeFileSync(process.env[reportVariable], JSON.stringify(report));
            }
            // Once nothing is open any more and mocha has set its exit code, the process ends without the runtime's cleanup, which may not end.
            setImmediate(() => process.on("exit", () => process.exit()));
        });
    }
}

module.exports = Reporter;
