import type { RecordedMetrics } from "../../utils/index.js";
import type { ControlDaemon } from "../control/index.js";

/** Sets the gauges of a control daemon before each reading; the returned function takes the collector off. */
export function collectControlMetrics(metrics: RecordedMetrics, daemon: ControlDaemon): () => void {
    return metrics.onCollect(() => {
        const status = daemon.status();
        const replicaState = status.standing();
        metrics.gauge("basilpaddle_control_leading", replicaState.leading ? 1 : 0);
        metrics.gauge("basilpaddle_control_voting", replicaState.voting ? 1 : 0);
        metrics.gauge("basilpaddle_control_term", replicaState.term);
        metrics.gauge("basilpaddle_control_last_index", replicaState.lastIndex);
        metrics.gauge("basilpaddle_control_committed_index", replicaState.committedIndex);
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
        const heard = sessions.map(session => session.revision).filter(known => known !== undefined);
        metrics.gauge("basilpaddle_revision_lag", Math.max(0, ...heard.map(known => revision - known)));
        for (const state of ["ready", "draining", "leaving", "gone"] as const) {
            const count = Object.values(view.backends).filter(backend => backend.state === state).length;
            metrics.gauge("basilpaddle_backends", count, { state });
        }
    });
}
