import { Right } from "purify-ts";
import type { ControlSettings } from "../../protocol/index.js";
import { type Link, TcpNetwork } from "../../transport/index.js";
import type { Logger } from "../../utils/index.js";
import { ControlDaemon } from "../control/index.js";
import {
    type ControlChannel,
    ControlOperations,
    controlRequestSchema,
    createLinkChannel,
    type DaemonStatus,
    LeaderOperations,
    OperatorServer,
} from "../operators/index.js";
import { AssembledDaemon } from "./assembledDaemon.js";
import { collectControlMetrics } from "./controlMetrics.js";
import type { RunningDaemon, ShutdownReport } from "./runningDaemon.js";

/** Starts a control daemon with the given settings; rejects if one of its components can't be opened. */
export async function startControl(settings: ControlSettings, logger: Logger): Promise<RunningDaemon> {
    const running = new RunningControl(settings, logger);
    await running.open();
    return running;
}

class RunningControl extends AssembledDaemon {
    private readonly links = new Map<string, Link>();
    private daemon: ControlDaemon | undefined;
    private operations: ControlOperations | undefined;
    private stopping: Promise<ShutdownReport> | undefined;

    constructor(private readonly settings: ControlSettings, logger: Logger) {
        super(logger);
    }

    override stop(): Promise<ShutdownReport> {
        this.stopping ??= this.store.dispose().then(() => ({ abortedRequests: [] }));
        return this.stopping;
    }

    protected override async openComponents(): Promise<void> {
        const { settings, logger, clock, randomness } = this;
        this.openLinks();
        const daemon = await ControlDaemon.create({
            settings,
            clock,
            randomness,
            logger,
            onFailure: () => this.fail("the replica stopped after a disk failure or a violated protocol invariant"),
            otherRequests: body => this.answerOperatorRequest(body),
        });
        this.daemon = daemon;
        const operations = ControlOperations.create({ name: settings.name, daemon, clock });
        this.operations = operations;
        this.store.add(collectControlMetrics(this.metrics, daemon));
        const operators = await OperatorServer.create({
            address: settings.operators,
            logger,
            metrics: this.metrics,
            operations: LeaderOperations.create(this.channels(operations), clock),
            quarantine: daemon.quarantinedRequests,
            guard: this.guardConnections(settings.connections),
            room: this.roomForOperators(),
            daemon: () => this.status(),
        });
        // The operators' server is closed last, so that operators can observe the transfer of leadership.
        this.store.add(() => operators.close());
        this.store.add(() => daemon.close());
        logger.info("serving", { peers: daemon.port(), operators: operators.port() });
    }

    private openLinks(): void {
        const network = TcpNetwork.create(this.logger);
        for (const control of this.settings.controls.filter(other => other.name !== this.settings.name)) {
            const link = network.link(control);
            this.links.set(control.name, link);
            this.store.add(() => link.close());
        }
    }

    private channels(operations: ControlOperations): ControlChannel[] {
        const others = [...this.links].map(([name, link]) => createLinkChannel(name, link));
        const own: ControlChannel = {
            name: this.settings.name,
            send: async request => Right(await operations.handle(request)),
        };
        return [own, ...others];
    }

    private async answerOperatorRequest(body: unknown): Promise<unknown> {
        const request = controlRequestSchema.safeParse(body);
        return request.success ? this.operations?.handle(request.data.request) : undefined;
    }

    private status(): DaemonStatus {
        const state = this.daemon?.state() ?? "starting";
        const replica = this.daemon?.status().replicaStatus();
        const reason = state !== "serving"
            ? state
            : replica?.leader === undefined
            ? "no leader is known"
            : undefined;
        return {
            name: this.settings.name,
            role: "control",
            failureDomain: this.settings.failureDomain,
            ready: reason === undefined && this.stopping === undefined,
            reason: this.stopping === undefined ? reason : "shutting down",
            revision: this.daemon?.status().view().configuration.revision ?? 0,
        };
    }
}
