/**
 * A gateway that hasn't been heard of for this long counts as absent: longer than the interval of its watches. It may spend its own share
 * of common limits by then.
 */
const absentAfterMilliseconds = 1_200;
/** How long an absent gateway may still be running. */
const forgetAfterMilliseconds = 60_000;
/** How long after its return a gateway may report what it spent meanwhile. */
const reportMilliseconds = 2_000;
const maxGateways = 4_096;

type Presence = {
    heardAt: number;
    /** Whether its absence has been taken into account. */
    counted: boolean;
    /** The last absence: when it ended, and how long nothing was heard. */
    returnedAt: number;
    silentFor: number;
};

/** The gateways that are absent, of those known, and those whose absence hasn't been taken into account before. */
export type Absence = {
    readonly known: number;
    readonly absent: number;
    readonly newlyAbsent: number;
    /** Milliseconds for which the latter have been silent, at least. */
    readonly silentFor: number;
};

/** When a directory last heard of each gateway, whether it leads or not. */
export class GatewayPresence {
    private readonly gateways = new Map<string, Presence>();

    private constructor() {}

    static create(): GatewayPresence {
        return new GatewayPresence();
    }

    /** Number of gateways heard of in the last minute. */
    get known(): number {
        return this.gateways.size;
    }

    /** Records a message of a gateway. */
    record(gateway: string, now: number): void {
        const known = this.gateways.get(gateway);
        if (known === undefined) {
            if (this.gateways.size < maxGateways) {
                const presence = { heardAt: now, counted: false, returnedAt: Number.NEGATIVE_INFINITY, silentFor: 0 };
                this.gateways.set(gateway, presence);
            }
            return;
        }
        if (known.counted) {
            known.counted = false;
            known.returnedAt = now;
            known.silentFor = now - known.heardAt;
        }
        known.heardAt = now;
    }

    /** The gateways that are absent now; to be called periodically, by the leader alone. */
    review(now: number): Absence {
        let [absent, newlyAbsent] = [0, 0];
        for (const [gateway, presence] of this.gateways) {
            const silentFor = now - presence.heardAt;
            if (silentFor >= forgetAfterMilliseconds) {
                this.gateways.delete(gateway);
            }
            else if (silentFor >= absentAfterMilliseconds) {
                absent += 1;
                newlyAbsent += presence.counted ? 0 : 1;
                presence.counted = true;
            }
        }
        return { known: this.gateways.size, absent, newlyAbsent, silentFor: absentAfterMilliseconds };
    }

    /** Milliseconds for which the share of a gateway that has just returned was withheld; 0 for any other. */
    withheldFor(gateway: string, now: number): number {
        const presence = this.gateways.get(gateway);
        return presence !== undefined && now - presence.returnedAt < reportMilliseconds ? presence.silentFor : 0;
    }
}
