export * from "./quarantine.js";
export * from "./requestDigest.js";
