export * from "./controlDaemon.js";
export * from "./controlStatus.js";
export { initialiseControl } from "./groupReplica.js";
export type { LifecycleState } from "./lifecycle.js";
export type { ProposalAnswer } from "./proposals.js";
