export * from "./originReporter.js";
export * from "./originResolver.js";
export * from "./streamOrigins.js";
export * from "./versionHistory.js";
