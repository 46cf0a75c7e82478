import { type Ending, type Exchange, lossOf, type Moment, momentOf, wasReset } from "./exchange.js";
import type { RowResult } from "./rows.js";

const moments: readonly Moment[] = ["before", "within 3 s", "later", "not stopped"];
const endings: readonly Ending[] = ["whole", "refused", "unknown", "noStatus", "cutInAnswer", "other"];
const millisecondsInSecond = 1_000;

/** Header of the table. */
export const tableHead = [
    "| row | sent | requests | whole | refused (503) | unknown (502, 504) | cut, no status | cut in the answer | other | lost | allowed |",
    `|${" --- |".repeat(11)}`,
];

/** One line for each moment of sending, for the requests that the row is about. */
export function tableLines({ row, exchanges, stops, runs }: RowResult): string[] {
    const counted = exchanges.filter(({ isBeside }) => !isBeside).map(exchange => {
        const stop = stops.find(({ gateway }) => gateway === exchange.gateway);
        const loss = lossOf(exchange, stop, runs.get(exchange.attempt));
        return { ending: exchange.ending, moment: momentOf(exchange, stop), loss };
    });
    return moments.flatMap(moment => {
        const ofMoment = counted.filter(one => one.moment === moment);
        const numbers = [
            ofMoment.length,
            ...endings.map(ending => ofMoment.filter(one => one.ending === ending).length),
            ...["lost", "allowed"].map(loss => ofMoment.filter(one => one.loss === loss).length),
        ];
        return ofMoment.length === 0 ? [] : [`| ${[row.name, moment, ...numbers].join(" | ")} |`];
    });
}

/** What became of the gateways and of the short requests beside. */
export function summaryLine({ row, exchanges, stops, runs, fallen }: RowResult): string {
    const beside = exchanges.filter(({ isBeside }) => isBeside);
    const ends = stops.map(({ gateway, at, endedAt = at, wasKilled }) => {
        const after = ((endedAt - at) / millisecondsInSecond).toFixed(1);
        return `gateway-${gateway + 1} ${wasKilled ? "killed" : "ended"} after ${after} s`;
    });
    const notWhole = beside.filter(({ ending }) => ending !== "whole").length;
    const resets =
        exchanges.filter(exchange =>
            wasReset(exchange, stops.find(({ gateway }) => gateway === exchange.gateway), runs.get(exchange.attempt))
        ).length;
    const others = fallen.length === 0 ? "no other process ended" : `ENDED: ${fallen.join(", ")}`;
    return `${row.name}: ${
        ends.length === 0 ? "no gateway was stopped" : ends.join(", ")
    }; ${others}; short requests beside: ${beside.length}, not whole ${notWhole}, `
        + `p99 ${percentile99(beside)} ms; sent within 2.8 s, never passed on, reset: ${resets}`;
}

/** Time that 99 in 100 of the whole answers took at most, in milliseconds. */
export function percentile99(exchanges: readonly Exchange[]): number {
    const times = exchanges.filter(({ ending }) => ending === "whole")
        .map(({ beganAt, endedAt }) => endedAt - beganAt).sort((one, other) => one - other);
    return Math.round(times[Math.ceil(times.length * 0.99) - 1] ?? 0);
}
