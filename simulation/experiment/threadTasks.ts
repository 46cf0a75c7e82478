// Runs the tasks that a worker thread receives and sends their outcomes back.
import { parentPort } from "node:worker_threads";
import { runTask, type Task } from "./taskRunner.js";

parentPort?.on("message", (task: Task) => parentPort?.postMessage(runTask(task)));
