export * from "./engineSpeed.js";
export * from "./poolSpeeds.js";
export * from "./writingMeter.js";
