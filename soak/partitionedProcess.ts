// Loaded into a daemon's process before its program: new connections fail as the file that the variable names says.
import { existsSync, readFileSync } from "node:fs";
import { interceptConnections, type RefusedPorts } from "../playground/harness/interceptedConnections.js";
import { partitionFileVariable } from "./partitionVariable.js";

const file = process.env[partitionFileVariable];
if (file !== undefined) {
    interceptConnections(() => existsSync(file) ? JSON.parse(readFileSync(file, "utf8")) as RefusedPorts : undefined);
}
