export * from "./coordination/index.js";
export * from "./protocol/index.js";
export * from "./state/index.js";
export * from "./transport/index.js";
export * from "./utils/index.js";
