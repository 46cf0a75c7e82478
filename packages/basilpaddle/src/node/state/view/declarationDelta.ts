/**
 * Sends changes of a large configuration to followers as a delta. With 24,000 organisations the whole declaration is a
 * megabyte, and it would be sent for each change to each entry daemon.
 */
import { isDeepStrictEqual } from "node:util";
import type { Command, Declaration, DeclarationDelta, View, ViewStep } from "../../protocol/index.js";

type RecordDelta<Value> = { readonly set: Record<string, Value>; readonly removed: readonly string[]; };

/** The delta that turns one declaration into the other. */
export function declarationDelta(before: Declaration, after: Declaration): DeclarationDelta {
    return {
        pools: recordDelta(before.pools, after.pools),
        services: recordDelta(before.services, after.services),
        organisations: recordDelta(before.organisations, after.organisations),
        routes: after.routes,
        anyOrganisation: after.anyOrganisation,
    };
}

/** The declaration with the delta applied. */
export function applyDeclarationDelta(before: Declaration, delta: DeclarationDelta): Declaration {
    return {
        pools: applyRecordDelta(before.pools, delta.pools),
        services: applyRecordDelta(before.services, delta.services),
        organisations: applyRecordDelta(before.organisations, delta.organisations),
        routes: delta.routes,
        anyOrganisation: delta.anyOrganisation,
    };
}

/** The command of a step; a delta is expanded against the declaration of the view that the step follows. */
export function expandedCommand(step: ViewStep, view: View): Command {
    const { command, delta } = step;
    if (delta === undefined || command.kind !== "changeConfiguration") {
        return command;
    }
    const declaration = applyDeclarationDelta(view.configuration.declaration, delta);
    return { ...command, change: { ...command.change, declaration } };
}

function recordDelta<Value>(
    before: Readonly<Record<string, Value>>,
    after: Readonly<Record<string, Value>>,
): { set: Record<string, Value>; removed: string[]; } {
    const set = Object.entries(after).filter(([name, value]) =>
        !Object.hasOwn(before, name) || !isDeepStrictEqual(before[name], value)
    );
    const removed = Object.keys(before).filter(name => !Object.hasOwn(after, name));
    return { set: Object.fromEntries(set), removed };
}

function applyRecordDelta<Value>(
    before: Readonly<Record<string, Value>>,
    delta: RecordDelta<Value>,
): Record<string, Value> {
    const after = { ...before, ...delta.set };
    for (const name of delta.removed) {
        delete after[name];
    }
    return after;
}
