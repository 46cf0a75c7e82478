export * from "./announcements.js";
export * from "./directoryWatcher.js";
export * from "./enginePlaces.js";
export { type PlaceTuning, placingAlone, placingForAll } from "./enginePool.js";
export * from "./instanceTable.js";
export * from "./repeatBudget.js";
export * from "./routeTable.js";
export * from "./serverChoice.js";
export * from "./stagePlan.js";
