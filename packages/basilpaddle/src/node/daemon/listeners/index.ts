export * from "./bodyBuffer.js";
export * from "./connectionGuard.js";
