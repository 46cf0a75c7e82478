export * from "./audit.js";
export * from "./history.js";
export * from "./invariant.js";
export * from "./ledger.js";
export * from "./ledgerSnapshot.js";
export * from "./runs.js";
export * from "./stateMachine.js";
export * from "./view/index.js";
