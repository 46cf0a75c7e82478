export * from "./controlStart.js";
export * from "./daemonLifecycle.js";
export * from "./entryStart.js";
export * from "./routingSettings.js";
export * from "./routingStart.js";
export * from "./runningDaemon.js";
export * from "./settings.js";
