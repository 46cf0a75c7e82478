import { getNextSnapshot, setup, type SnapshotFrom } from "xstate";
import { Invariant } from "../../state/index.js";

/**
 * The roles of a replica. In `silent`, after the start, it takes no part in the protocol; in `canvassing` it runs a
 * pre-vote, in `candidate` an election.
 */
const machine = setup({
    types: {
        events: {} as { type: "speak"; } | { type: "canvass"; } | { type: "stand"; } | { type: "win"; } | {
            type: "follow";
        },
    },
}).createMachine({
    id: "replica",
    initial: "silent",
    states: {
        silent: { on: { speak: "follower" } },
        follower: { on: { canvass: "canvassing", stand: "candidate", follow: "follower" } },
        canvassing: { on: { canvass: "canvassing", stand: "candidate", follow: "follower" } },
        candidate: { on: { canvass: "canvassing", win: "leader", follow: "follower" } },
        leader: { on: { follow: "follower" } },
    },
});

/** The current role of a replica. */
export type Role = SnapshotFrom<typeof machine>["value"];
/**
 * An event that changes a replica's role: `speak` ends the initial silence, `canvass` starts a pre-vote, `stand` starts an
 * election, `win` follows from a won election, and `follow` from contact with a leader or a higher term.
 */
export type RoleChange = "speak" | "canvass" | "stand" | "win" | "follow";

/** The role that every replica starts in. */
export const initialRole: Role = "silent";

/** The role after a change. A change that the current role doesn't allow violates an invariant. */
export function nextRole(role: Role, change: RoleChange): Role {
    const snapshot = machine.resolveState({ value: role });
    Invariant.assert(snapshot.can({ type: change }), `the role ${role} doesn't allow the change ${change}`);
    return getNextSnapshot(machine, snapshot, { type: change }).value;
}
