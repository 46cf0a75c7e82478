export * from "./address.js";
export * from "./frame.js";
export * from "./link.js";
export * from "./listening.js";
export * from "./tcpLink.js";
