export * from "./folder.js";
export * from "./loading.js";
export * from "./merge.js";
