// A thread gets no loader for TypeScript from the process that starts it: it takes its own before the module proper.
import { register } from "tsx/esm/api";

register();
await import("./threadTasks.ts");
