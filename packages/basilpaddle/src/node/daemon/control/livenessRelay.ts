import type { ControlSettings, PeerRequest } from "../../protocol/index.js";
import type { Link, Network } from "../../transport/index.js";
import type { ControlCore } from "./core.js";

type LivenessMessage = Extract<PeerRequest, { kind: "heard"; }>;

/**
 * Reports to the leader the sessions and backend servers that sent heartbeats to this control daemon. Otherwise,
 * if an entry daemon is disconnected from only the leader, the leader would close its session as silent, although a majority
 * of the control daemons receives its heartbeats and confirms its view: the entry daemon would stop starting work, and the
 * requests that it still runs would be cancelled at the engines.
 */
export class LivenessRelay {
    private readonly links: ReadonlyMap<string, Link>;
    private reportedUntil: number;
    private cancelTimer: (() => void) | undefined;
    private closed = false;

    private constructor(private readonly core: ControlCore, controls: ControlSettings["controls"], network: Network) {
        this.links = new Map(
            controls.filter(({ name }) => name !== core.name).map(control => [control.name, network.link(control)]),
        );
        this.reportedUntil = core.clock.monotonic();
    }

    static create(core: ControlCore, controls: ControlSettings["controls"], network: Network): LivenessRelay {
        return new LivenessRelay(core, controls, network);
    }

    /** Sends a report to the leader now and at each view interval. */
    start(): void {
        if (this.closed) {
            return;
        }
        this.sendReport();
        this.cancelTimer = this.core.clock.after(this.core.timing.viewInterval, () => this.start());
    }

    /** Stops reporting and closes the links. */
    close(): void {
        this.closed = true;
        this.cancelTimer?.();
        for (const link of this.links.values()) {
            link.close();
        }
    }

    /** A lost report isn't sent again: daemons and servers that are still running send another heartbeat before the next report. */
    private sendReport(): void {
        const { leader, leading } = this.core.replica.currentStatus();
        const report = this.core.livenessTable.reportSince(this.reportedUntil);
        this.reportedUntil = this.core.clock.monotonic();
        const link = leading || leader === undefined ? undefined : this.links.get(leader);
        if (link !== undefined && report.sessions.length + report.renewals.length > 0) {
            link.send({ kind: "heard", ...report } satisfies LivenessMessage);
        }
    }
}

/**
 * Merges the heartbeats that another control daemon received. A late report is harmless: an entry daemon never reverts a view
 * that it has applied. The heartbeats count from when the report arrives, which can keep a session open longer by the delay
 * of the report, but not more.
 */
export function mergeLivenessMessage(
    { livenessTable, clock }: Pick<ControlCore, "livenessTable" | "clock">,
    message: LivenessMessage,
): void {
    const now = clock.monotonic();
    for (const { session, applied, revision } of message.sessions) {
        livenessTable.recordSession(session, { applied, revision }, now);
    }
    for (const { id, incarnation } of message.renewals) {
        livenessTable.recordBackend(id, incarnation, now);
    }
}
