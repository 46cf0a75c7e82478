export * from "./backendMessages.js";
export * from "./entryDaemon.js";
