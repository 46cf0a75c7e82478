import { expect } from "chai";
import fc from "fast-check";
import { type Command, type Declaration, declarationSchema } from "../../../protocol/index.js";
import { encodeFrame } from "../../../transport/index.js";
import { commands } from "../../__tests__/commands.js";
import { Ledger } from "../../ledger.js";
import { applyDeclarationDelta, declarationDelta, expandedCommand } from "../declarationDelta.js";
import { ViewState } from "../viewState.js";

const organisations = (count: number) =>
    fc.uniqueArray(fc.integer({ min: 0, max: 9 }), { maxLength: count }).chain(names =>
        fc.array(fc.integer({ min: 1, max: 2 }), { minLength: names.length, maxLength: names.length }).map(shares =>
            Object.fromEntries(names.map((name, at) => [`o${name}`, { share: shares[at]! }]))
        )
    );
const declarations = organisations(8).map(some => declarationSchema.parse({ organisations: some }));

function changeTo(changeId: string, base: number, declaration: Declaration): Command {
    const command = commands.change(changeId, base) as Extract<Command, { kind: "changeConfiguration"; }>;
    return { ...command, change: { ...command.change, declaration } };
}

/** A declaration with 2,000 organisations, one of which has another share. */
function largeDeclaration(altered: number): Declaration {
    const entries = Array.from({ length: 2_000 }, (_, at) => [`o${at}`, { share: at === altered ? 2 : 1 }]);
    return declarationSchema.parse({ organisations: Object.fromEntries(entries) });
}

describe("declaration delta", () => {
    it("turns the first declaration into the second", () => {
        fc.assert(
            fc.property(declarations, declarations, (before, after) => {
                expect(applyDeclarationDelta(before, declarationDelta(before, after))).to.deep.equal(after);
            }),
            { seed: 1, numRuns: 300 },
        );
    });

    /*
     * Guards against a follower's view that diverges from that of the control daemons: after a large change, a rejected
     * one and a resend of an accepted one, the next delta is based on a declaration that isn't in force.
     */
    for (const restarts of [false, true]) {
        it(`is based on accepted changes only, and is small${restarts ? ", also after restarts" : ""}`, () => {
            const ledger = Ledger.create();
            const follower = ViewState.create();
            const sequence = [
                changeTo("one", 0, largeDeclaration(1)),
                changeTo("refused", 0, largeDeclaration(2)),
                changeTo("two", 1, largeDeclaration(3)),
                changeTo("one", 0, largeDeclaration(1)),
                changeTo("three", 2, largeDeclaration(4)),
                changeTo("three", 2, largeDeclaration(5)),
                changeTo("four", 3, largeDeclaration(6)),
            ];
            const sizes: number[] = [];
            sequence.forEach((command, at) => {
                ledger.apply(at + 1, command);
                const step = ledger.missingSteps({ after: at, count: 1, bytes: 10_000_000 })![0]!;
                follower.apply(step.index, expandedCommand(step, follower.view()));
                sizes.push(encodeFrame(step).length);
                // After a restart, a resend with the same change ID may have different content.
                if (restarts) {
                    ledger.restore(ledger.snapshot());
                }
            });
            expect(follower.view()).to.deep.equal(ledger.view());
            expect(Math.max(...sizes.slice(1))).to.be.lessThan(1_000);
        });
    }
});
