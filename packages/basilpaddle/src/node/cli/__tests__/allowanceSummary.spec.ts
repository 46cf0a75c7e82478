import { expect } from "chai";
import { summariseAllowances } from "../allowanceSummary.js";
import { type LogLine, readLogLines } from "../explanation.js";

/** The line of a request of an organisation that arrived at a time in milliseconds, with its charge. */
function requestLine(arrivedAt: number, charge: object | undefined, organisation = "o"): string {
    const at = new Date(arrivedAt + 300).toISOString();
    const line = { at, level: "INFO", daemon: "g", message: "request", organisation, milliseconds: 300, charge };
    return JSON.stringify(line);
}

function linesOf(...texts: string[]): readonly LogLine[] {
    return readLogLines([texts.join("\n")]).lines;
}

describe("the summary of allowances", () => {
    it("finds the span in which most units ran, and what granted them", () => {
        const lines = linesOf(
            requestLine(9_000, { units: 50, granted: true, by: "share" }),
            requestLine(0, { units: 1_000, granted: true, by: "reported" }),
            requestLine(5_000, { units: 400, granted: true, by: "leader", term: 2 }),
            requestLine(5_500, { units: 700, granted: true, by: "leader", term: 3, refunded: true }),
            requestLine(8_500, { units: 700, granted: false, by: "leader", term: 3 }),
            requestLine(8_600, { units: 800, granted: true, by: "strictShare" }),
            requestLine(8_700, undefined),
            requestLine(8_700, { units: 10, granted: true, by: "reported" }, "other"),
        );
        expect(summariseAllowances(lines, { window: 8_000 })).to.deep.equal([
            {
                organisation: "o",
                from: "1970-01-01T00:00:00.000Z",
                ran: 1_400,
                decisions: [
                    { by: "reported", granted: 1_000, refunded: 0, refused: 0 },
                    { by: "leader of term 3", granted: 700, refunded: 700, refused: 0 },
                    { by: "leader of term 2", granted: 400, refunded: 0, refused: 0 },
                ],
            },
            {
                organisation: "other",
                from: "1970-01-01T00:00:08.700Z",
                ran: 10,
                decisions: [{ by: "reported", granted: 10, refunded: 0, refused: 0 }],
            },
        ]);
        expect(summariseAllowances(lines, { window: 3_600, organisation: "o" })[0]).to.deep.include({ ran: 1_200 });
    });
});
