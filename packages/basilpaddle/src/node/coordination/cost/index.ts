export * from "./answerTokens.js";
export * from "./completionScore.js";
export * from "./engineScore.js";
export * from "./engineSpeed.js";
export * from "./poolSpeeds.js";
export * from "./writingMeter.js";
