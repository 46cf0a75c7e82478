export * from "./establishedVersions.js";
export * from "./originReporter.js";
export * from "./originResolver.js";
export * from "./streamOrigins.js";
export * from "./toldVersions.js";
export * from "./versionHistory.js";
