import type { Change, CommandResult, View } from "../../protocol/index.js";
import type { Reduction } from "./reduction.js";

/** The first result of a change, which its resends get as well. */
export type DecidedChange = { readonly changeId: string; readonly result: CommandResult; };

/** Maximum number of changes whose first result is kept. */
export const decidedChangeLimit = 4_000;

/** Bounded map of the first results of changes. */
export class DecidedChanges {
    private constructor(private readonly results: Map<string, CommandResult>) {}

    static create(decided: readonly DecidedChange[]): DecidedChanges {
        return new DecidedChanges(new Map(decided.map(change => [change.changeId, change.result])));
    }

    /** The first result of the change, if it is still stored. */
    firstResult(changeId: string): CommandResult | undefined {
        return this.results.get(changeId);
    }

    /** Stores the first result of a change and evicts the oldest one beyond the limit. */
    add(changeId: string, result: CommandResult): void {
        this.results.set(changeId, result);
        if (this.results.size > decidedChangeLimit) {
            this.results.delete(this.results.keys().next().value!);
        }
    }

    /** All stored results, oldest first. */
    list(): readonly DecidedChange[] {
        return [...this.results].map(([changeId, result]) => ({ changeId, result }));
    }
}

/** Accepts a change based on the revision in force; any other is a conflict, whose result names the change that won. */
export function changeConfiguration(view: View, change: Change): Reduction {
    const { revision, changeId, operator } = view.configuration;
    if (change.base !== revision) {
        return { view, result: { kind: "conflict", revision, winner: { operator, changeId } } };
    }
    const accepted = {
        revision: revision + 1,
        changeId: change.changeId,
        operator: change.operator,
        declaration: change.declaration,
    };
    return {
        view: { ...view, configuration: accepted },
        result: { kind: "accepted", revision: accepted.revision },
    };
}
