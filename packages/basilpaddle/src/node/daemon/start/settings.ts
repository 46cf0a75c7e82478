import * as path from "node:path";
import { type Either, Left, Right } from "purify-ts";
import { type Finding, type Settings, settingsSchema, type Timing } from "../../protocol/index.js";
import { JsonText } from "../../utils/index.js";
import { printWaitNotice, readWhenComplete, type WaitNotice } from "./settingsFile.js";

/**
 * Resolves a JSON settings file into a frozen object with all defaults, or returns all findings together. Waits for a
 * file that is still being written.
 */
export async function resolveSettings(
    file: string,
    notice: WaitNotice = printWaitNotice,
): Promise<Either<readonly Finding[], Settings>> {
    const content = await readWhenComplete(file, notice);
    return content
        .mapLeft((finding): readonly Finding[] => [finding])
        .chain(text => JsonText.parse(text).mapLeft(problems => problems.map(problem => ({ file, ...problem }))))
        .chain(text => resolveText(file, text));
}

function resolveText(file: string, text: JsonText): Either<readonly Finding[], Settings> {
    const parsed = settingsSchema.safeParse(text.value);
    if (!parsed.success) {
        return Left(parsed.error.issues.map(issue => ({ file, place: text.place(issue.path), cause: issue.message })));
    }
    const settings = parsed.data;
    const findings = [...controlFindings(settings), ...timingFindings(settings.timing)]
        .map(problem => ({ file, place: text.place(problem.path), cause: problem.cause, cure: problem.cure }));
    return findings.length > 0 ? Left(findings) : Right(deepFreeze(withAbsoluteDataFolder(settings, file)));
}

type SettingsProblem = { readonly path: readonly PropertyKey[]; readonly cause: string; readonly cure: string; };

function controlFindings(settings: Settings): SettingsProblem[] {
    const problems: SettingsProblem[] = [];
    const names = settings.controls.map(control => control.name);
    const addresses = settings.controls.map(control => `${control.host}:${control.port}`);
    settings.controls.forEach((control, position) => {
        if (names.indexOf(control.name) !== position) {
            problems.push({
                path: ["controls", position, "name"],
                cause: `control daemon ${control.name} is listed twice`,
                cure: "give each control daemon a unique name",
            });
        }
        if (addresses.indexOf(`${control.host}:${control.port}`) !== position) {
            problems.push({
                path: ["controls", position],
                cause: `address ${control.host}:${control.port} is listed twice`,
                cure: "give each control daemon a unique address",
            });
        }
    });
    if (settings.role === "control" && !names.includes(settings.name)) {
        problems.push({
            path: ["controls"],
            cause: `doesn't list this control daemon, ${settings.name}`,
            cure: "list all control daemons, including this one",
        });
    }
    return problems;
}

function timingFindings(timing: Timing): SettingsProblem[] {
    const problems: SettingsProblem[] = [];
    if (timing.viewInterval * 2 > timing.viewLease) {
        problems.push({
            path: ["timing", "viewInterval"],
            cause:
                `${timing.viewInterval} ms is too long for a view lease of ${timing.viewLease} ms: the lease would expire after one lost request`,
            cure: "set it to at most half of timing.viewLease",
        });
    }
    if (timing.sessionTimeout < timing.viewLease * (1 + timing.clockDrift)) {
        problems.push({
            path: ["timing", "sessionTimeout"],
            cause:
                `${timing.sessionTimeout} ms is too short for a view lease of ${timing.viewLease} ms: another daemon could be granted leases that are still in use`,
            cure: "set it to more than timing.viewLease and its clock drift",
        });
    }
    if (timing.heartbeatInterval * 2 > timing.electionTimeout) {
        problems.push({
            path: ["timing", "heartbeatInterval"],
            cause:
                `${timing.heartbeatInterval} ms is too long for an election timeout of ${timing.electionTimeout} ms: one lost heartbeat would start an election although the leader works`,
            cure: "set it to at most half of timing.electionTimeout",
        });
    }
    return problems;
}

function withAbsoluteDataFolder(settings: Settings, file: string): Settings {
    if (settings.role !== "control") {
        return settings;
    }
    return { ...settings, dataFolder: path.resolve(path.dirname(file), settings.dataFolder) };
}

function deepFreeze<T>(value: T): T {
    if (typeof value === "object" && Boolean(value)) {
        Object.values(value as object).forEach(deepFreeze);
        Object.freeze(value);
    }
    return value;
}
