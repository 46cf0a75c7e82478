import { z } from "zod";
import type { LogLine } from "./explanation.js";

/** Message of the log line in which a gateway reports how a request ended. */
const requestMessage = "request";

const chargedRequestSchema = z.looseObject({
    organisation: z.string(),
    milliseconds: z.number(),
    charge: z.looseObject({
        units: z.number(),
        granted: z.boolean(),
        by: z.string(),
        term: z.number().optional(),
        refunded: z.boolean().default(false),
    }),
});
type ChargedRequest = z.infer<typeof chargedRequestSchema> & { readonly arrivedAt: number; };

/** Units of an organisation's requests on which the same source decided. */
export type GrantorUnits = {
    /** What decided, with the term if a leader did. */
    readonly by: string;
    readonly granted: number;
    /** The part of `granted` that was returned, since no backend server may have run it. */
    readonly refunded: number;
    readonly refused: number;
};

/** The span in which most units of an organisation's requests ran, by the time at which the requests arrived. */
export type AllowanceWindow = {
    readonly organisation: string;
    /** Time of the first request. */
    readonly from: string;
    /** Units of requests that a backend server may have run. */
    readonly ran: number;
    /** What decided on the requests of that span, most units first. */
    readonly decisions: readonly GrantorUnits[];
};

/**
 * Finds for each organisation the span of `window` milliseconds in which most units ran, and what granted them; most units first.
 * `organisation`: only this one.
 */
export function summariseAllowances(
    lines: readonly LogLine[],
    { window, organisation }: { readonly window: number; readonly organisation?: string | undefined; },
): AllowanceWindow[] {
    const byOrganisation = new Map<string, ChargedRequest[]>();
    for (const line of lines) {
        const request = line.message === requestMessage ? parseRequest(line) : undefined;
        if (request !== undefined && (organisation ?? request.organisation) === request.organisation) {
            const requests = byOrganisation.get(request.organisation) ?? [];
            byOrganisation.set(request.organisation, requests);
            requests.push(request);
        }
    }
    const windows = [...byOrganisation].map(([name, requests]) => largestWindow(name, requests, window));
    return windows.sort((one, other) => other.ran - one.ran);
}

function parseRequest(line: LogLine): ChargedRequest | undefined {
    const { data } = chargedRequestSchema.safeParse(line);
    return data && { ...data, arrivedAt: Date.parse(line.at) - data.milliseconds };
}

function largestWindow(organisation: string, requests: ChargedRequest[], window: number): AllowanceWindow {
    requests.sort((one, other) => one.arrivedAt - other.arrivedAt);
    let [first, ran] = [0, 0];
    let largest = { from: 0, until: 0, ran: -1 };
    requests.forEach((request, last) => {
        ran += ranUnits(request);
        while (request.arrivedAt - requests[first]!.arrivedAt > window) {
            ran -= ranUnits(requests[first]!);
            first += 1;
        }
        if (ran >= largest.ran) {
            largest = { from: first, until: last + 1, ran };
        }
    });
    return {
        organisation,
        from: new Date(requests[largest.from]!.arrivedAt).toISOString(),
        ran: largest.ran,
        decisions: sumByGrantor(requests.slice(largest.from, largest.until)),
    };
}

function ranUnits({ charge: { granted, refunded, units } }: ChargedRequest): number {
    return granted && !refunded ? units : 0;
}

function sumByGrantor(requests: readonly ChargedRequest[]): GrantorUnits[] {
    const sums = new Map<string, { granted: number; refunded: number; refused: number; }>();
    for (const { charge } of requests) {
        const by = charge.term === undefined ? charge.by : `${charge.by} of term ${charge.term}`;
        const sum = sums.get(by) ?? { granted: 0, refunded: 0, refused: 0 };
        sums.set(by, sum);
        sum[charge.granted ? "granted" : "refused"] += charge.units;
        sum.refunded += charge.refunded ? charge.units : 0;
    }
    const decisions = [...sums].map(([by, sum]) => ({ by, ...sum }));
    return decisions.sort((one, other) => other.granted - one.granted);
}
