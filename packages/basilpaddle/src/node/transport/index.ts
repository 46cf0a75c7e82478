export * from "./address.js";
export * from "./connecting.js";
export * from "./frame.js";
export * from "./link.js";
export * from "./listening.js";
export * from "./tcpLink.js";
export * from "./tunnel.js";
