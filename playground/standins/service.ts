import { FakeService } from "./fakeService.js";
import { runStandin } from "./run.js";

/** `tsx playground/standins/service.ts '{"id": "policy-1", "service": "policy"}'` */
await runStandin(settings => FakeService.create(settings, () => process.exit(137)));
