export * from "./peers.js";
export * from "./replica.js";
export { initialiseDataFolder } from "./startup.js";
export type { CommittedPosition } from "./state.js";
