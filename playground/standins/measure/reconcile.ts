import {
    announcementSchema,
    declarationSchema,
    emptyReconcilerState,
    emptyView,
    type EngineReading,
    type EngineState,
    Reconciler,
    type View,
} from "../../../packages/basilpaddle/src/node/index.js";

/** Measures one step of the reconciler: `node --import=tsx playground/standins/measure/reconcile.ts` */
const limits = { concurrentLoads: 2, orderTimeout: 4_000, settle: 3_060, retryPause: 1_000 };
const enginesPerPool = 15;
const rounds = 200;

/** Pools of fifteen engines with twenty attempts each, in the middle of a rollout or settled. */
function createDeployment(engines: number, rollout: boolean) {
    const pools: Record<string, unknown> = {};
    const backends: View["backends"] = {};
    const readings = new Map<string, EngineReading>();
    const served: Record<string, Record<string, string>> = {};
    for (let n = 0; n < engines; n++) {
        const pool = `pool-${Math.floor(n / enginesPerPool)}`;
        const role = n % 3 === 0 ? "prefill" : "decode";
        pools[pool] = { models: [{ name: "m", version: "2" }], copies: { prefill: 5, decode: 10 } };
        served[pool] = { m: "2" };
        const versions = rollout ? ["1", "2"] : ["2"];
        const models = versions.map(version => ({ name: "m", version, adapters: [] }));
        const id = `engine-${n}`;
        const shared = { id, incarnation: 1, role, pool, models, failureDomain: "a", url: "http://127.0.0.9:1" };
        backends[id] = { announcement: announcementSchema.parse(shared), state: "ready" };
        const state: EngineState = {
            id,
            incarnation: 1,
            role,
            models: models.map(model => ({ ...model, phase: "warm", loadingAdapters: [] })),
            highestFence: 0,
            active: Array.from({ length: 20 }, (_, k) => `entry/1/${n}-${k}`),
        };
        readings.set(id, { state, askedAt: 0 });
    }
    const view = emptyView();
    const configuration = { ...view.configuration, declaration: declarationSchema.parse({ pools }) };
    return { view: { ...view, configuration, backends, served }, readings };
}

for (const rollout of [false, true]) {
    for (const engines of [15, 150, 600]) {
        const { view, readings } = createDeployment(engines, rollout);
        const reconciler = Reconciler.create(1, limits);
        let state = emptyReconcilerState();
        const times: number[] = [];
        for (let round = 0; round < rounds; round++) {
            const now = round * 1_000;
            const currentReadings = new Map([...readings].map(([id, reading]) => [id, { ...reading, askedAt: now }]));
            const startedAt = performance.now();
            state = reconciler.step(state, view, currentReadings, now).state;
            times.push(performance.now() - startedAt);
        }
        times.sort((one, other) => one - other);
        const percentile = (fraction: number) => Number(times[Math.floor(times.length * fraction)]!.toFixed(3));
        console.log(
            JSON.stringify({ rollout, engines, p50Milliseconds: percentile(0.5), p99Milliseconds: percentile(0.99) }),
        );
    }
}
