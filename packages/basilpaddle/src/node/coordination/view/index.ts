export * from "./viewClient.js";
export * from "./viewLease.js";
