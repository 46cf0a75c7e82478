/**
 * An organisation is near its limit below this fraction of its burst. Of one that isn't, the shares of all gateways together hold as much
 * of the burst: the leader has it left.
 */
export const nearLimitFraction = 0.45;
/**
 * The leader is asked before a request that costs at least this fraction of the burst. Otherwise organisations whose burst is a
 * few requests, of which a deployment may have thousands, would come near their limit with each request, and every gateway would
 * be notified each time.
 */
export const askedBurstFraction = 0.25;
