export * from "./backendLife.js";
export * from "./crashNews.js";
export * from "./crashWatch.js";
export * from "./heldRefusal.js";
export * from "./heldRequests.js";
export type { HeldRequest, Hold } from "./quarantine.js";
export * from "./requestDigest.js";
