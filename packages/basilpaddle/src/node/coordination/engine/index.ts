export * from "./engine.js";
export * from "./engineLimits.js";
export * from "./httpEngine.js";
