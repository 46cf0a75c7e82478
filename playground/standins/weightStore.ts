import { FakeWeightStore } from "./fakeWeightStore.js";
import { runStandin } from "./run.js";

/** `tsx playground/standins/weightStore.ts '{"rate": 50000000}'` */
await runStandin(settings => FakeWeightStore.create(settings));
