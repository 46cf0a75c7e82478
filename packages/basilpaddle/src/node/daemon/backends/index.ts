export * from "./answerLimits.js";
export * from "./answers.js";
export * from "./backendConnections.js";
export * from "./connectionOpener.js";
export * from "./engineCall.js";
export * from "./gatedPool.js";
export * from "./heldBytes.js";
export type { ReceivedBody } from "./receivedBodies.js";
