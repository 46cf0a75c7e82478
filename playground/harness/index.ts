export * from "./backend.js";
export * from "./caller.js";
export * from "./daemon.js";
export * from "./deployment.js";
export * from "./partition.js";
export * from "./program.js";
export * from "./relay.js";
export * from "./wait.js";
