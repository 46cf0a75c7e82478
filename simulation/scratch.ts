import { createPlan } from "../soak/plan.js";
import { runSoak } from "../soak/run.js";
const marked = { kind: "markedPrompts", at: 1_500, lasts: 4_000, pick: 0.2 } as const;
const f = (kind: string, at: number, lasts: number, pick: number) => ({ kind, at, lasts, pick }) as any;
const rows: Record<string, any[]> = {
    nothing: [],
    gatewaysKilled: [0, 0.4, 0.8].map((p, i) => f("killGateway", 1_600 + 900 * i, 300, p)),
    directoriesKilled: [0, 0.4, 0.8].map((p, i) => f("killDirectory", 1_600 + 900 * i, 300, p)),
    gatewayCut: [f("cutGateway", 1_400, 4_000, 0)],
    allKilled: [f("killAll", 3_000, 600, 0)],
    enginesCrash: [0.1, 0.4, 0.7].map((p, i) => f("crashBackend", 1_500 + 1_500 * i, 900, p)),
    noneMarked: [0.1, 0.3, 0.5, 0.7].map((p, i) => f("crashBackend", 500 + 1_500 * i, 900, p)),
};
for (const [name, others] of Object.entries(rows)) {
    const faults = [...(name === "noneMarked" ? [] : [marked]), ...others].sort((a, b) => a.at - b.at);
    const report = await runSoak({ ...createPlan(1, { seconds: 7, versions: false, gateways: 3, directories: 3 }), engines: 14, faults });
    const lines = [...report.logs.values()].flatMap(log => log.split("\n"));
    const ended = new Set(lines.filter(l => l.includes("ended under a request") && l.includes("part:bad")).map(l => /"server":"([^"]+)"/.exec(l)?.[1]));
    const held = new Set(lines.filter(l => l.includes("a part of prompts is held back")).map(l => /"content":"([^"]+)"/.exec(l)?.[1]));
    console.log(name, "ended under marked runs that gateways noted", ended.size, "held", [...held].join(" "), JSON.stringify(report.ends), "violations", JSON.stringify(report.violations.slice(0, 3)));
}
process.exit(0);
