export * from "./logFile.js";
export * from "./record.js";
