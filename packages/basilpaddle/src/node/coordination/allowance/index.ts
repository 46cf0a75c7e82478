export type { AllowanceCharge } from "./allowanceCharge.js";
export * from "./allowanceLedger.js";
export * from "./leaderAllowances.js";
export { nearLimitFraction } from "./nearLimit.js";
export * from "./organisationAllowances.js";
export { rankOf } from "./priorityReserve.js";
export * from "./tokenBucket.js";
