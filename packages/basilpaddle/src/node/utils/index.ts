export * from "./clock.js";
export * from "./disposables.js";
export * from "./jsonText.js";
export * from "./lineLogger.js";
export * from "./logger.js";
export * from "./metrics.js";
export * from "./randomness.js";
export * from "./recordedMetrics.js";
