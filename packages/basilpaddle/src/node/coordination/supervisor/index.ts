export * from "./appliedIndexHistory.js";
export * from "./inForce.js";
export * from "./leaseCommands.js";
export * from "./livenessTable.js";
export * from "./supervisor.js";
