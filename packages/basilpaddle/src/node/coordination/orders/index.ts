export * from "./orderService.js";
export * from "./orderState.js";
export * from "./reconciler.js";
export * from "./servedVersion.js";
