export * from "./directoryDaemon.js";
export * from "./directoryWire.js";
