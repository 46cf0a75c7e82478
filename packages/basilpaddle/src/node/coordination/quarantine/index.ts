export * from "./backendIncarnation.js";
export * from "./crashDetector.js";
export * from "./crashExchange.js";
export * from "./promptPart.js";
export type { QuarantineEntry, QuarantineStatus } from "./quarantine.js";
export * from "./quarantinedRequests.js";
export * from "./quarantineRefusal.js";
export * from "./requestDigest.js";
