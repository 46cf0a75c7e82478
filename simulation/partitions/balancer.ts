import type { Randomness } from "../../packages/basilpaddle/src/node/utils/index.js";

/** Two misses take a gateway out of rotation. */
const maxMisses = 2;
/** Fraction of requests that arrive on a connection that is open already. */
const openConnectionFraction = 0.7;

type Gateway = { readonly index: number; readonly domain: number; };

/** A load balancer that prefers ready gateways, unless fewer than half of a failure domain's are ready. */
export class SimulatedBalancer<T extends Gateway> {
    private readonly misses = new Map<number, number>();

    private constructor(private readonly gateways: readonly T[], private readonly isReady: (gateway: T) => boolean) {}

    static create<T extends Gateway>(
        gateways: readonly T[],
        isReady: (gateway: T) => boolean,
    ): SimulatedBalancer<T> {
        return new SimulatedBalancer(gateways, isReady);
    }

    /** Checks the readiness of all gateways. */
    check(): void {
        this.gateways.forEach(gateway => {
            this.misses.set(gateway.index, this.isReady(gateway) ? 0 : (this.misses.get(gateway.index) ?? 0) + 1);
        });
    }

    /** The gateway of the next request: that of an open connection, unless that gateway closes them, or one in rotation. */
    choose(random: Randomness): T {
        const first = this.gateways[random.integer(0, this.gateways.length - 1)]!;
        if (random.fraction() < openConnectionFraction && this.isReady(first)) {
            return first;
        }
        const inRotation = (gateway: T): boolean => (this.misses.get(gateway.index) ?? 0) < maxMisses;
        const near = this.gateways.filter(({ domain }) => domain === first.domain);
        const usableNear = near.filter(inRotation);
        const usable = usableNear.length * 2 >= near.length
            ? usableNear
            : usableNear.length > 0
            ? near
            : this.gateways.filter(inRotation);
        const candidates = usable.length > 0 ? usable : this.gateways;
        return candidates[random.integer(0, candidates.length - 1)]!;
    }
}
