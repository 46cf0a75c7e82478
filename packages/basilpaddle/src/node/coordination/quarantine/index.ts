export * from "./requestDigest.js";
