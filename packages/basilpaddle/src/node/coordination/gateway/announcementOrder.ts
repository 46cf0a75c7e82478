import { type DepartureStage, departureStages, type ServerAnnouncement } from "../../protocol/index.js";

/** Ranks of departure: 0 if nothing is known, then the stages in their order, then the end of the incarnation. */
const notLeaving = 0;
const left = departureStages.length + 1;
const suspected = rankOfStage("suspected");
const announced = rankOfStage("announced");

/**
 * What two announcements of one incarnation say together. Whether a server leaves, and whether it is present, are two separate facts:
 * the later stage of departure applies whatever its sequence number, and of presence what has the highest one. The result depends
 * neither on the order in which announcements arrive nor on how often, so that all daemons come to the same state.
 */
export function joinAnnouncements(one: ServerAnnouncement, other: ServerAnnouncement): ServerAnnouncement {
    const newer = isNewer(one, other) ? one : other;
    return atRank(newer, Math.max(departureRank(one), departureRank(other)));
}

/** The announcement with at least this stage of departure. */
export function withDeparture(server: ServerAnnouncement, stage: DepartureStage | "left"): ServerAnnouncement {
    return atRank(server, Math.max(departureRank(server), stage === "left" ? left : rankOfStage(stage)));
}

/** Whether an incarnation leaves, or may: it gets no new work. */
export function isLeaving(server: ServerAnnouncement): boolean {
    const rank = departureRank(server);
    return rank === suspected || rank === announced;
}

/** Position of an announcement in the order of departures; the higher one applies. */
export function departureRank({ state, departure }: Pick<ServerAnnouncement, "state" | "departure">): number {
    if (state === "left") {
        return left;
    }
    if (departure !== undefined) {
        return rankOfStage(departure);
    }
    return state === "draining" ? announced : notLeaving;
}

function rankOfStage(stage: DepartureStage): number {
    return departureStages.indexOf(stage) + 1;
}

function atRank(server: ServerAnnouncement, rank: number): ServerAnnouncement {
    const atNoStage = { ...server };
    delete atNoStage.departure;
    delete atNoStage.leavingFor;
    if (rank === left) {
        return { ...atNoStage, state: "left" };
    }
    const present = rank === suspected || rank === announced ? "draining" : "ready";
    const state = server.state === "silent" ? "silent" : present;
    return rank === notLeaving
        ? { ...atNoStage, state }
        : { ...atNoStage, state, departure: departureStages[rank - 1] };
}

/** Whether the first announcement tells of the presence more recently. With the same sequence number, silence was noticed after it. */
function isNewer(one: ServerAnnouncement, other: ServerAnnouncement): boolean {
    if (one.sequence !== other.sequence) {
        return one.sequence > other.sequence;
    }
    // An end that was reported by an identifier alone has no address.
    if ((one.address === "") !== (other.address === "")) {
        return other.address === "";
    }
    return one.state === "silent";
}
