// Plays the tasks that it is sent, and sends their outcomes back.
import { parentPort } from "node:worker_threads";
import { playTask, type Task } from "./player.js";

parentPort?.on("message", (task: Task) => parentPort?.postMessage(playTask(task)));
