// Frame of a case: starts and ends everything, and turns the finding into an exit code. It is 10 if the rule was broken, so that run.sh can
// tell that from an error of Node.js, which exits with 1; 0 if the rule held; 2 if the case couldn't run.
import * as path from "node:path";
import { Deployment, Record } from "./deployment.mjs";

/** Whether the disruption is brought about. */
export const trouble = process.env.TROUBLE !== "0";
const limitMilliseconds = 112_000;
const brokenCode = 10;
const couldNotRun = 2;

/** `body` is given the deployment and the record, and returns whether the rule was broken. */
export async function runCase(folder, options, body) {
    const record = new Record(path.join(folder, "record.txt"));
    record.line(`trouble: ${trouble}`);
    let deployment;
    const timer = setTimeout(() => finish(couldNotRun, "the case took too long"), limitMilliseconds);
    const finish = (status, text) => {
        clearTimeout(timer);
        record.line(text);
        console.log(text);
        try {
            deployment?.close();
        }
        finally {
            process.exit(status);
        }
    };
    process.on("uncaughtException", error => finish(couldNotRun, `an error of the case: ${error.stack}`));
    try {
        deployment = await Deployment.create(record, options);
        const broken = await body(deployment, record);
        finish(broken ? brokenCode : 0, broken ? "the rule was broken" : "the rule held");
    }
    catch (error) {
        finish(couldNotRun, `the case couldn't run: ${error.stack}`);
    }
}
