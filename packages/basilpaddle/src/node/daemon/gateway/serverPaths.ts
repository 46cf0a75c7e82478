import type { InstanceTable, PathMonitorOptions, PathState, RelayPeers } from "../../coordination/index.js";
import type { Relay, ServerAnnouncement } from "../../protocol/index.js";
import { type ListenStatus, probeListening } from "../../transport/index.js";
import type { Metrics } from "../../utils/index.js";
import {
    type AnswerLimits,
    type BackendAnswer,
    type BackendCall,
    BackendCaller,
    DirectOpener,
    isAnswer,
} from "../backends/index.js";
import { RelayNotice } from "./relayNotice.js";
import { type PathFailure, ServerPath } from "./serverPath.js";
import { TunnelOpener } from "./tunnelOpener.js";

/** Number of relays that a call tries, and that connections are shared among. */
const maxRelaysTried = 3;
const maxRelaysUsed = 4;
/** After this time no further relay is tried for a call: its headers state the time that was left when it began. */
const maxRelayTriesMilliseconds = 200;
/** A direct path that has failed still carries calls if bytes arrived on it this recently: connections that are open may live on. */
const livingSilenceMilliseconds = 1_000;
/** How long no relay is asked after none could help. */
const noRelayMilliseconds = 200;

/** Dependencies of the paths. */
export type ServerPathsOptions = Pick<PathMonitorOptions, "clock" | "randomness" | "logger" | "metrics"> & {
    readonly localAddress: string | undefined;
    /** @default the default bounds */
    readonly answers?: AnswerLimits;
    readonly instances: InstanceTable;
    readonly relays: () => RelayPeers | undefined;
    /** Called when this gateway doesn't reach backend servers itself any more, or does so again. */
    readonly onChanged: (state: PathState) => void;
};

/** Result of a call, with the gateway through which it was sent, if it wasn't sent directly. */
export type RoutedResult = (BackendAnswer | PathFailure) & { readonly via?: string; };

/**
 * Calls backend servers directly, or through other gateways while this one reaches none. Through a relay a call is the same: this
 * gateway places it, counts it and answers its caller, and the relay forwards bytes that it doesn't read.
 */
export class ServerPaths extends BackendCaller {
    readonly direct: ServerPath;
    private readonly relayed = new Map<string, ServerPath>();
    private readonly notices = new Map<string, RelayNotice>();
    /** Until when no relay is asked. */
    private noRelayUntil = 0;

    private constructor(private readonly options: ServerPathsOptions) {
        super();
        this.direct = ServerPath.create({
            ...options,
            name: "direct",
            opener: DirectOpener.create(options.localAddress),
            servers: () => this.readyServers(),
            onChanged: state => this.directChanged(state),
        });
    }

    static create(options: ServerPathsOptions): ServerPaths {
        return new ServerPaths(options);
    }

    /** Whether this gateway reaches backend servers itself. */
    reachesServers(): boolean {
        return this.direct.isSound();
    }

    /** Whether failures of calls may be reported as failures of their servers. */
    mayReportFailures(): boolean {
        return this.direct.isSound() && !this.direct.monitor.isProbing();
    }

    /** Whether no call can be sent now: the direct path has failed, and no relay is known that may help. */
    hasNoPath(): boolean {
        const mayBeRelayed = this.usableRelays().length > 0 && this.now() >= this.noRelayUntil;
        return !mayBeRelayed && this.isDirectDead();
    }

    override async call(call: BackendCall, limit: number, gateways: number): Promise<RoutedResult> {
        if (this.direct.isSound()) {
            return this.direct.call(call, limit, gateways);
        }
        const startedAt = this.now();
        for (const relay of this.usableRelays().slice(0, maxRelaysTried)) {
            if (this.now() - startedAt > maxRelayTriesMilliseconds) {
                return { kind: "notSent", cause: "no relay answered in time", lostOnPath: true };
            }
            const result = await this.callBy(relay, call, limit, gateways);
            const hasFailedAtRelay = !isAnswer(result) && result.kind === "notSent" && result.lostOnPath;
            if (!hasFailedAtRelay || call.signal.aborted) {
                return { ...result, via: relay.gateway };
            }
            this.options.relays()?.avoid(relay, result.cause);
        }
        if (this.isDirectDead()) {
            this.noRelayUntil = this.now() + noRelayMilliseconds;
            return { kind: "notSent", cause: "no path leads to the server", lostOnPath: true };
        }
        return this.direct.call(call, limit, gateways);
    }

    /** Whether a call to a server that ended without a whole answer may have been lost on its way. */
    async isLostOnPath(server: string): Promise<boolean> {
        return !await this.direct.monitor.confirm(server);
    }

    override closeConnections(id: string): void {
        [this.direct, ...this.relayed.values()].forEach(({ connections }) => connections.closeConnections(id));
    }

    /** Whether the way by which an answer came still leads to its server, directly or through the gateway `via`, as far as can be known. */
    async stillReaches(server: ServerAnnouncement, via: string | undefined): Promise<boolean> {
        if (via === undefined) {
            return await probeListening(server.address, this.options.localAddress) !== "no";
        }
        const relay = this.usableRelays().find(({ gateway }) => gateway === via);
        return relay !== undefined && await TunnelOpener.create(relay, this.options.localAddress).open(server)
                    .then(socket => socket.destroy(), () => undefined) !== undefined;
    }

    /** Whether anything listens at a server's address; unknown if this gateway can't tell. */
    async listenStatusOf(address: string): Promise<ListenStatus> {
        const status = this.direct.isSound() ? await probeListening(address, this.options.localAddress) : "unknown";
        return status === "no" && !await this.direct.monitor.confirm("") ? "unknown" : status;
    }

    /** Sets the gauges of the paths. */
    measure(metrics: Metrics): void {
        metrics.gauge("basilpaddle_servers_reached", this.direct.isSound() ? 1 : 0);
        metrics.gauge("basilpaddle_relays_usable", this.usableRelays().length);
    }

    async close(): Promise<void> {
        this.notices.forEach(notice => notice.close());
        await Promise.all([this.direct, ...this.relayed.values()].map(path => path.close()));
    }

    /** Whether the direct path has failed, and its open connections don't live on. */
    private isDirectDead(): boolean {
        return this.direct.monitor.state() === "failed" && this.direct.monitor.silence() > livingSilenceMilliseconds;
    }

    private usableRelays(): readonly Relay[] {
        return this.options.relays()?.candidates() ?? [];
    }

    private async callBy(
        relay: Relay,
        call: BackendCall,
        limit: number,
        gateways: number,
    ): Promise<BackendAnswer | PathFailure> {
        const ended = this.options.relays()?.callStarted(relay) ?? (() => undefined);
        const result = await this.pathBy(relay).call(call, limit, gateways * maxRelaysUsed);
        this.options.metrics.count("basilpaddle_relayed_calls_total", {
            outcome: isAnswer(result) ? "answered" : result.kind,
        });
        if (isAnswer(result)) {
            result.body.once("close", ended);
            // From now on calls may go over an open tunnel, so that no reply tells that the relay shuts down.
            this.noticeOf(relay).request();
        }
        else {
            ended();
        }
        return result;
    }

    private noticeOf(relay: Relay): RelayNotice {
        const notice = this.notices.get(relay.address) ?? RelayNotice.create({
            relay,
            localAddress: this.options.localAddress,
            onClosing: () => this.dropPath(relay, "it shuts down"),
            clock: this.options.clock,
        });
        this.notices.set(relay.address, notice);
        return notice;
    }

    private pathBy(relay: Relay): ServerPath {
        const known = this.relayed.get(relay.address);
        if (known !== undefined) {
            return known;
        }
        const path = ServerPath.create({
            ...this.options,
            name: relay.gateway,
            opener: TunnelOpener.create(relay, this.options.localAddress),
            servers: () => this.readyServers(),
            onChanged: state => this.relayChanged(relay, path, state),
        });
        this.relayed.set(relay.address, path);
        return path;
    }

    private relayChanged(relay: Relay, path: ServerPath, state: PathState): void {
        if (state === "failed" && this.relayed.get(relay.address) === path) {
            this.dropPath(relay, "it reaches no backend server");
        }
    }

    /** Drops the path through a relay that opens no tunnel any more; calls in progress can finish, since it may still forward them. */
    private dropPath(relay: Relay, cause: string): void {
        this.options.relays()?.avoid(relay, cause);
        const path = this.relayed.get(relay.address);
        this.relayed.delete(relay.address);
        path?.connections.closeAllConnections();
        void path?.close();
    }

    private directChanged(state: PathState): void {
        if (state === "sound") {
            // Connections that were open when the path failed may be dead without having been reset.
            this.direct.connections.closeAllConnections();
            this.relayed.forEach(({ connections }) => connections.closeAllConnections());
        }
        this.options.onChanged(state);
    }

    private readyServers(): readonly ServerAnnouncement[] {
        return this.options.instances.all().filter(({ state }) => state === "ready");
    }

    private now(): number {
        return this.options.clock.monotonic();
    }
}
