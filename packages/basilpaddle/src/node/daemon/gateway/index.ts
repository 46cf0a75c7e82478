export * from "./gatewayDaemon.js";
export * from "./gatewayWire.js";
