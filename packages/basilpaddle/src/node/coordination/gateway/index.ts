export * from "./announcements.js";
export * from "./directoryWatcher.js";
export * from "./enginePlaces.js";
export * from "./instanceTable.js";
export * from "./repeatBudget.js";
export * from "./routeTable.js";
export * from "./serverChoice.js";
export * from "./stagePlan.js";
