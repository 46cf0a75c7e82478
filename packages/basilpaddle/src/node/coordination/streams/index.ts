export * from "./establishedVersionReports.js";
export * from "./establishedVersions.js";
export * from "./originReporter.js";
export * from "./originResolver.js";
export * from "./streamOrigins.js";
export * from "./versionHistory.js";
