export { bodyLimitBytes } from "./body.js";
export * from "./controlOperations.js";
export * from "./leaderOperations.js";
export * from "./operations.js";
export * from "./operatorServer.js";
export * from "./operatorWire.js";
