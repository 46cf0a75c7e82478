export * from "./localPlacement.js";
export * from "./localScheduler.js";
export * from "./poolScheduler.js";
export * from "./scheduledPlacement.js";
export * from "./scheduler.js";
export * from "./tuning.js";
