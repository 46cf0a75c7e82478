export * from "./bodyBuffer.js";
