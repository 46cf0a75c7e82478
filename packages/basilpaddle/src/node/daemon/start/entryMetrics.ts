import type { PeerControlClient, ScheduledPlacement } from "../../coordination/index.js";
import type { RecordedMetrics } from "../../utils/index.js";
import type { EntryDaemon } from "../entry/index.js";

/** Sets the gauges of an entry daemon before each scrape. The returned function unregisters the collector. */
export function collectEntryMetrics(
    metrics: RecordedMetrics,
    control: PeerControlClient,
    placement: ScheduledPlacement,
    daemon: EntryDaemon,
): () => void {
    return metrics.onCollect(() => {
        metrics.gauge("basilpaddle_ready", daemon.isReady() ? 1 : 0);
        metrics.gauge("basilpaddle_may_start", control.mayStart() ? 1 : 0);
        metrics.gauge("basilpaddle_open_requests", daemon.openRequests());
        const view = control.view();
        metrics.gauge("basilpaddle_view_index", view.index);
        metrics.gauge("basilpaddle_view_revision", view.configuration.revision);
        const heldLeases = Object.values(view.leases).filter(({ holder }) =>
            holder.incarnation === control.session().incarnation
        );
        metrics.gauge("basilpaddle_leases_held", heldLeases.length);
        // A pool that this daemon no longer schedules is reported as zero: its last queue length would look like a stuck queue.
        for (const pool of Object.keys(view.configuration.declaration.pools)) {
            const schedulerStatus = placement.status().get(pool);
            metrics.gauge("basilpaddle_scheduler", schedulerStatus === undefined ? 0 : 1, { pool });
            metrics.gauge("basilpaddle_queue", schedulerStatus?.queuedCount ?? 0, { pool });
            const allocatedSlotCount = [...schedulerStatus?.allocatedSlots.values() ?? []].reduce(
                (sum, slots) => sum + slots,
                0,
            );
            metrics.gauge("basilpaddle_slots_held", allocatedSlotCount, { pool });
        }
        metrics.gauge("process_resident_memory_bytes", process.memoryUsage.rss());
    });
}
