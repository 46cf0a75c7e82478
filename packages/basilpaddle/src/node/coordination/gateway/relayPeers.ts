import { type Relay, relayListSchema, type RelayRegistration } from "../../protocol/index.js";
import type { Link } from "../../transport/index.js";
import type { Clock, Logger } from "../../utils/index.js";

/** Interval of registering at all directories, and the shorter one after the start while no relay is known. */
const registrationIntervalMilliseconds = 10_000;
const startupIntervalMilliseconds = 500;
const startupMilliseconds = 10_000;
/** Interval while this gateway needs relays: those that it knows may fail too. */
const neededIntervalMilliseconds = 1_000;
const registrationTimeoutMilliseconds = 400;
/** A relay that failed isn't chosen for this long. */
const avoidMilliseconds = 400;
/** How many more open calls a relay of this gateway's failure domain may have than one of another. */
const nearPreferenceCalls = 4;
/** A relay that is missing from the lists for this long, while directories list others, isn't used: it has failed or shuts down. */
const missingMilliseconds = 2_500;
/** Relays that were listed are kept for this long, in case no directory answers any more. */
const keptMilliseconds = 60_000;

/** Dependencies of the relays. */
export type RelayPeersOptions = {
    /** This gateway as a relay for others. */
    readonly self: Relay;
    /** Links to the directories that are reached. */
    readonly directories: () => readonly Link[];
    /** Whether this gateway reaches backend servers itself. */
    readonly reachesServers: () => boolean;
    readonly clock: Clock;
    readonly logger: Logger;
};

type KnownRelay = Relay & { listedAt: number; avoidedUntil: number; openCalls: number; usedAt: number; };

/** Registers this gateway as a relay at the directories, and keeps the relays that they list for it. */
export class RelayPeers {
    private readonly known = new Map<string, KnownRelay>();
    private cancelRegistration: () => void;
    private latestListAt = 0;
    private closed = false;
    private readonly startedAt: number;

    private constructor(private readonly options: RelayPeersOptions) {
        this.startedAt = options.clock.monotonic();
        this.cancelRegistration = options.clock.after(0, () => void this.registerAndRepeat());
    }

    static create(options: RelayPeersOptions): RelayPeers {
        return new RelayPeers(options);
    }

    /** Registers now, since it has changed whether this gateway relays. */
    registerNow(): void {
        this.cancelRegistration();
        void this.registerAndRepeat();
    }

    /** Relays in the order in which they should be tried: few open calls first, near ones before others, then in turn. */
    candidates(): readonly Relay[] {
        const now = this.options.clock.monotonic();
        const cost = ({ failureDomain, openCalls }: KnownRelay): number => {
            return openCalls + (failureDomain === this.options.self.failureDomain ? 0 : nearPreferenceCalls);
        };
        return [...this.known.values()]
            .filter(({ avoidedUntil }) => avoidedUntil <= now)
            .filter(({ listedAt }) => listedAt >= this.latestListAt - missingMilliseconds)
            .sort((one, other) => cost(one) - cost(other) || one.usedAt - other.usedAt);
    }

    /** Records the start of a call by a relay; the returned function records its end. */
    callStarted({ address }: Relay): () => void {
        const relay = this.known.get(address);
        if (relay !== undefined) {
            relay.openCalls += 1;
            relay.usedAt = this.options.clock.monotonic();
        }
        return () => {
            if (relay !== undefined) {
                relay.openCalls -= 1;
            }
        };
    }

    /** Avoids a relay that failed, or that can't help now. */
    avoid({ address, gateway }: Relay, cause: string): void {
        const relay = this.known.get(address);
        if (relay !== undefined) {
            relay.avoidedUntil = this.options.clock.monotonic() + avoidMilliseconds;
            this.options.logger.info("a relay is avoided", { relay: gateway, cause, openCalls: relay.openCalls });
        }
    }

    close(): void {
        this.closed = true;
        this.cancelRegistration();
    }

    private async registerAndRepeat(): Promise<void> {
        const reachesServers = this.options.reachesServers();
        const registration: RelayRegistration = { kind: "relay", relay: this.options.self, reachesServers };
        await Promise.all(
            this.options.directories().map(async link => {
                const answer = await link.request(registration, registrationTimeoutMilliseconds);
                const parsed = relayListSchema.safeParse(answer.toMaybe().extract());
                (parsed.data?.relays ?? []).forEach(relay => this.addRelay(relay));
            }),
        );
        this.forgetOld();
        if (!this.closed) {
            this.cancelRegistration();
            this.cancelRegistration = this.options.clock.after(
                this.registrationInterval(),
                () => void this.registerAndRepeat(),
            );
        }
    }

    private registrationInterval(): number {
        const isStarting = this.options.clock.monotonic() - this.startedAt < startupMilliseconds;
        if (isStarting && this.known.size === 0) {
            return startupIntervalMilliseconds;
        }
        return this.options.reachesServers() ? registrationIntervalMilliseconds : neededIntervalMilliseconds;
    }

    private addRelay(relay: Relay): void {
        const known = this.known.get(relay.address);
        const listedAt = this.options.clock.monotonic();
        this.latestListAt = listedAt;
        this.known.set(
            relay.address,
            Object.assign(known ?? { avoidedUntil: 0, openCalls: 0, usedAt: 0 }, relay, { listedAt }),
        );
    }

    private forgetOld(): void {
        const oldest = this.options.clock.monotonic() - keptMilliseconds;
        this.known.forEach(({ listedAt, openCalls }, address) => {
            if (listedAt < oldest && openCalls === 0) {
                this.known.delete(address);
            }
        });
    }
}
