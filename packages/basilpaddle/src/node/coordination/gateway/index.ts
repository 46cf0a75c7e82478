export { departureRank, isLeaving } from "./announcementOrder.js";
export * from "./announcements.js";
export * from "./applyAnnouncement.js";
export * from "./callTally.js";
export * from "./describeServers.js";
export * from "./directoryWatcher.js";
export * from "./effectivePriorities.js";
export {
    leaderPlacementTuning,
    localPlacementTuning,
    type PlacementTuning,
    speedPlacementTuning,
} from "./enginePool.js";
export * from "./instanceTable.js";
export * from "./linkQuality.js";
export * from "./outlierDetector.js";
export * from "./pathMonitor.js";
export * from "./placementQueue.js";
export * from "./priorityOrder.js";
export * from "./queueObserver.js";
export * from "./queueOrder.js";
export * from "./relayPeers.js";
export * from "./relayRegistry.js";
export * from "./routeTable.js";
export * from "./serverChoice.js";
export * from "./serviceRetryBudget.js";
export * from "./stagePlan.js";
export type { KnownDirectory } from "./watchedDirectory.js";
