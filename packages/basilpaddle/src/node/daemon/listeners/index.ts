export * from "./bodyRoom.js";
export * from "./connectionGuard.js";
