import type { CommandResult, Incarnation, View } from "../../protocol/index.js";

/** The view after a command, and the command's result. */
export type Reduction = { readonly view: View; readonly result: CommandResult; };

/** Rejects a command as stale and leaves the view unchanged: the command was made for a state that has since changed. */
export function stale(view: View, reason: string): Reduction {
    return { view, result: { kind: "stale", reason } };
}

/** Whether both are the same incarnation of the same daemon. */
export function sameIncarnation(one: Incarnation, other: Incarnation): boolean {
    return one.daemon === other.daemon && one.incarnation === other.incarnation;
}

/** A copy of the record without the key. */
export function without<Value>(record: Readonly<Record<string, Value>>, key: string): Record<string, Value> {
    const copy = { ...record };
    delete copy[key];
    return copy;
}
