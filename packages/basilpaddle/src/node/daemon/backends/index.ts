export * from "./answers.js";
export * from "./backendConnections.js";
export * from "./engineCall.js";
