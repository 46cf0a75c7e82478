import type { RecordedMetrics } from "../../utils/index.js";
import type { ControlDaemon } from "../control/index.js";

/** Sets the gauges of a control daemon before each scrape. The returned function unregisters the collector. */
export function collectControlMetrics(metrics: RecordedMetrics, daemon: ControlDaemon): () => void {
    return metrics.onCollect(() => {
        const status = daemon.status();
        const replica = status.replicaStatus();
        metrics.gauge("basilpaddle_control_leading", replica.leading ? 1 : 0);
        metrics.gauge("basilpaddle_control_voting", replica.voting ? 1 : 0);
        metrics.gauge("basilpaddle_control_term", replica.term);
        metrics.gauge("basilpaddle_control_last_index", replica.lastIndex);
        metrics.gauge("basilpaddle_control_committed_index", replica.committedIndex);
        const { records, answerBytes } = status.runUsage();
        metrics.gauge("basilpaddle_run_records", records);
        metrics.gauge("basilpaddle_run_answer_bytes", answerBytes);
        const view = status.view();
        const { revision } = view.configuration;
        metrics.gauge("basilpaddle_view_index", view.index);
        metrics.gauge("basilpaddle_view_revision", revision);
        const sessions = status.sessions();
        metrics.gauge("basilpaddle_sessions", sessions.length);
        metrics.gauge("basilpaddle_leases", Object.keys(view.leases).length);
        const confirmedRevisions = sessions.map(session => session.revision).filter(confirmed =>
            confirmed !== undefined
        );
        metrics.gauge(
            "basilpaddle_revision_lag",
            Math.max(0, ...confirmedRevisions.map(confirmed => revision - confirmed)),
        );
        for (const state of ["ready", "draining", "leaving", "gone"] as const) {
            const count = Object.values(view.backends).filter(backend => backend.state === state).length;
            metrics.gauge("basilpaddle_backends", count, { state });
        }
    });
}
