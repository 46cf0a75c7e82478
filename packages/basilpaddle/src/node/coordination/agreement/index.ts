export * from "./peers.js";
export * from "./replica.js";
export { initialise } from "./startup.js";
export type { CommittedMark } from "./state.js";
