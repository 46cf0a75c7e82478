// A worker thread doesn't inherit the TypeScript loader of its process, so it registers one before importing the tasks.
import { register } from "tsx/esm/api";

register();
await import("./threadTasks.ts");
