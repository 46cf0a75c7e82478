import { FakeEngine } from "./fakeEngine.js";
import { runStandin } from "./run.js";

/** `tsx playground/standins/engine.ts '{"id": "decode-1", "role": "decode", "pool": "drafting"}'` */
await runStandin(settings => FakeEngine.create(settings, () => process.exit(137)));
