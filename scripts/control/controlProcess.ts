/** Runs one control daemon in a separate process, so that its CPU time can be measured. Answers each message with its usage. */
import { ControlDaemon, initialiseControl } from "../../packages/basilpaddle/src/node/daemon/control/index.js";
import { controlSettingsSchema } from "../../packages/basilpaddle/src/node/protocol/index.js";
import { createLogger, SystemClock, SystemRandomness } from "../../packages/basilpaddle/src/node/utils/index.js";

/** CPU time and resident memory of a control daemon. */
export type Usage = { readonly cpuMilliseconds: number; readonly residentBytes: number; };

const settings = controlSettingsSchema.parse(JSON.parse(process.argv[2]!));
await initialiseControl(settings, "measurement");
const daemon = await ControlDaemon.create({
    settings,
    clock: SystemClock.create(),
    randomness: SystemRandomness.create(),
    logger: createLogger(settings.name, "error"),
    onFailure: () => process.exit(1),
});
process.on("message", () => {
    const { user, system } = process.cpuUsage();
    const usage: Usage = { cpuMilliseconds: (user + system) / 1_000, residentBytes: process.memoryUsage().rss };
    process.send!(usage);
});
process.on("disconnect", () => {
    void daemon.close().then(() => process.exit(0));
});
process.send!("ready");
