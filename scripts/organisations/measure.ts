// Measures what a configuration with many organisations costs: its size, and the time and memory to take it.
import { performance } from "node:perf_hooks";
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { RouteTable } from "../../packages/basilpaddle/src/node/coordination/index.js";
import { packText } from "../../packages/basilpaddle/src/node/protocol/index.js";
import { SeededRandomness } from "../../packages/basilpaddle/src/node/utils/index.js";
import { configurationDocument } from "../../platform/src/standins/wire.js";
import "../../platform/src/zodConfiguration.js";

const { organisations: count, keys: keysPerOrganisation } = await yargs(hideBin(process.argv))
    .usage("npm run measure:organisations -- --organisations 24000 --keys 2")
    .option("organisations", { type: "number", default: 24_000, describe: "number of organisations" })
    .option("keys", { type: "number", default: 2, describe: "keys of each organisation" })
    .strict()
    .parse();

/** Imported after the setting of zod has taken effect. */
const { readConfiguration } = await import("../../platform/src/configuration.js");
const random = SeededRandomness.create(1);
const bytesInMegabyte = 1_048_576;

function heapMegabytes(): number {
    global.gc?.();
    return process.memoryUsage().heapUsed / bytesInMegabyte;
}

function measured<T>(name: string, act: () => T): T {
    const heapBefore = heapMegabytes();
    const startedAt = performance.now();
    const result = act();
    const milliseconds = performance.now() - startedAt;
    console.log(`${name}: ${milliseconds.toFixed(0)} ms, heap ${(heapMegabytes() - heapBefore).toFixed(1)} MB more`);
    return result;
}

const document = configurationDocument({
    version: 1,
    host: "h.example",
    routes: [{ name: "safe", prefix: "/safe/", kind: "safe" }],
    organisations: Array.from({ length: count }, (_, number) => ({
        name: `organisation-${number}`,
        keys: Array.from({ length: keysPerOrganisation }, () => random.identifier()),
        allowance: { rate: 10, burst: 20 },
    })),
    timeout: 1_000,
    handleLife: 500,
});
console.log(`${count} organisations with ${keysPerOrganisation} keys: ${(document.length / 1e6).toFixed(2)} MB`);
const packed = measured("compressing", () => packText(document));
console.log(`compressed: ${(packed.length / 1e6).toFixed(2)} MB`);
const traffic = measured("checking", () => readConfiguration(document).unsafeCoerce());
measured("building the table of keys", () => RouteTable.create(traffic));
