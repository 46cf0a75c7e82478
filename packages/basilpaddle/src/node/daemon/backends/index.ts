export * from "./answers.js";
export * from "./backendConnections.js";
