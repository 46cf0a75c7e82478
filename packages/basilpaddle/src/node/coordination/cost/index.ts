export * from "./completionScore.js";
export * from "./engineScore.js";
export * from "./engineSpeed.js";
export * from "./eventTokens.js";
export * from "./poolSpeeds.js";
export * from "./writingMeter.js";
