export * from "./bodyBuffer.js";
export * from "./bodyRoom.js";
export * from "./connectionGuard.js";
