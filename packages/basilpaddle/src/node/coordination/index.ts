export * from "./agreement/index.js";
export * from "./controlClient.js";
export * from "./engine/index.js";
export * from "./orders/index.js";
export * from "./placement.js";
export * from "./replica.js";
export * from "./scheduling/index.js";
export * from "./supervisor/index.js";
