import { readFileSync } from "node:fs";
import { z } from "zod";
import type { Metrics } from "./metrics.js";

/** Description of the sources as JSON, which the bundler puts in this name's place; undefined in code that isn't bundled. */
declare const BASILPADDLE_BUILD: string | undefined;

/** Path of the package's description from this module, where it isn't bundled. */
const packageFile = "../../../package.json";

const buildSchema = z.object({
    /** The package's version. */
    version: z.string(),
    /** Digest of the sources that the bundle was built from; missing in code that isn't bundled. */
    sources: z.string().optional(),
    /** Commit of the sources, with `+changes` if they were changed since; missing where they were built without their history. */
    commit: z.string().optional(),
});

/** Which code a process runs, and on what. */
export type CodeDescription = z.infer<typeof buildSchema> & {
    /** Version of Node.js. */
    readonly node: string;
    /** Operating system and processor architecture. */
    readonly machine: string;
};

/** Describes the code that this process runs, as it was built: what lies on the disk may have changed since. */
export function describeCode(): CodeDescription {
    const text = typeof BASILPADDLE_BUILD === "undefined"
        ? readFileSync(new URL(packageFile, import.meta.url), "utf8")
        : BASILPADDLE_BUILD;
    const machine = `${process.platform}-${process.arch}`;
    return { ...buildSchema.parse(JSON.parse(text)), node: process.versions.node, machine };
}

/** Sets the gauge whose labels name the code; its value is 1. */
export function measureCode(metrics: Metrics): void {
    const { version, sources = "", commit = "", node, machine } = describeCode();
    metrics.gauge("basilpaddle_build_info", 1, { version, sources, commit, node, machine });
}
