import { type Command, ordersLease, type View } from "../../protocol/index.js";
import { type Reduction, stale } from "./reduction.js";

type MoveTraffic = Extract<Command, { kind: "moveTraffic"; }>;

/** Sets the version that new attempts run; the command needs the fence of the orders lease that is held now. */
export function moveTraffic(view: View, index: number, command: MoveTraffic): Reduction {
    const { pool, model, version, fence } = command;
    if (view.leases[ordersLease]?.fence !== fence) {
        return stale(view, `the orders lease isn't held under ${fence}`);
    }
    if (!isDeclared(view, pool, model)) {
        return stale(view, `${pool} doesn't declare ${model}`);
    }
    const servedVersions = declaredModels(view);
    const served = { ...servedVersions, [pool]: { ...servedVersions[pool], [model]: version } };
    return { view: { ...view, served }, result: { kind: "done", index } };
}

/** The served versions without pools and models that aren't declared any more, which keeps their number bounded. */
function declaredModels(view: View): NonNullable<View["served"]> {
    const pools = Object.entries(view.served ?? {}).map(([pool, models]) => {
        const declared = Object.entries(models).filter(([model]) => isDeclared(view, pool, model));
        return [pool, Object.fromEntries(declared)] as const;
    });
    return Object.fromEntries(pools.filter(([pool]) => view.configuration.declaration.pools[pool] !== undefined));
}

function isDeclared(view: View, pool: string, model: string): boolean {
    return view.configuration.declaration.pools[pool]?.models.some(({ name }) => name === model) ?? false;
}
