export * from "./backends.js";
export * from "./configuration.js";
export * from "./declarationDelta.js";
export * from "./viewState.js";
export * from "./viewSteps.js";
