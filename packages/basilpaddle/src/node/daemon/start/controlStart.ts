import { Right } from "purify-ts";
import type { ControlSettings } from "../../protocol/index.js";
import { type Link, TcpNetwork } from "../../transport/index.js";
import type { Logger } from "../../utils/index.js";
import { ControlDaemon } from "../control/index.js";
import {
    type ControlDoor,
    ControlOperations,
    controlRequestSchema,
    type DaemonStatus,
    LeaderOperations,
    linkDoor,
    OperatorServer,
} from "../operators/index.js";
import { AssembledDaemon } from "./assembledDaemon.js";
import { collectControlMetrics } from "./controlMetrics.js";
import type { RunningDaemon, ShutdownReport } from "./runningDaemon.js";

/** Starts a control daemon by its settings. */
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
        this.stopping ??= this.store.dispose().then(() => ({ cut: [] }));
        return this.stopping;
    }

    protected override async openParts(): Promise<void> {
        const { settings, logger, clock, randomness } = this;
        this.openLinks();
        const daemon = await ControlDaemon.create({
            settings,
            clock,
            randomness,
            logger,
            onFailure: () => this.fail("the replica stopped: its disk failed, or a promise of the protocol was broken"),
            otherRequests: body => this.answerOther(body),
        });
        this.daemon = daemon;
        const operations = ControlOperations.create({ name: settings.name, daemon, clock });
        this.operations = operations;
        this.store.add(collectControlMetrics(this.metrics, daemon));
        const operators = await OperatorServer.create({
            address: settings.operators,
            logger,
            metrics: this.metrics,
            operations: LeaderOperations.create(this.doors(operations), clock),
            held: daemon.held,
            daemon: () => this.status(),
        });
        // Operators can look on while leadership is handed over, so their server is the last to go.
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

    private doors(operations: ControlOperations): ControlDoor[] {
        const others = [...this.links].map(([name, link]) => linkDoor(name, link));
        const own: ControlDoor = {
            name: this.settings.name,
            ask: async request => Right(await operations.handle(request)),
        };
        return [own, ...others];
    }

    private async answerOther(body: unknown): Promise<unknown> {
        const request = controlRequestSchema.safeParse(body);
        return request.success ? this.operations?.handle(request.data.request) : undefined;
    }

    private status(): DaemonStatus {
        const state = this.daemon?.state() ?? "starting";
        const replicaState = this.daemon?.status().standing();
        const reason = state !== "serving"
            ? state
            : replicaState?.leader === undefined
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
