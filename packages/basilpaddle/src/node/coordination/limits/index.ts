export { RequestPacer } from "./requestPacer.js";
export * from "./serverAdmission.js";
export * from "./serverLimits.js";
