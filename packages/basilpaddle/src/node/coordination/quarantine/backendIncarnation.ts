import type { Announcement, View } from "../../protocol/index.js";
import type { BackendIncarnation } from "./crashDetector.js";

/** The incarnation of a backend server that an announcement describes. */
export function backendIncarnationOf(
    { id, incarnation, url }: Pick<Announcement, "id" | "incarnation" | "url">,
): BackendIncarnation {
    return { id: `${id}@${incarnation}`, address: new URL(url).host };
}

/** Whether an incarnation has ended: the view lists it in the state "gone", or not at all. */
export function hasEnded(view: View, incarnationId: string): boolean {
    return !Object.values(view.backends).some(({ announcement, state }) => {
        return state !== "gone" && backendIncarnationOf(announcement).id === incarnationId;
    });
}
