import type { Announcement, View } from "../../protocol/index.js";
import type { ServerLife } from "./crashWatch.js";

/** The life of a backend server that an announcement tells of. */
export function lifeOf({ id, incarnation, url }: Pick<Announcement, "id" | "incarnation" | "url">): ServerLife {
    return { id: `${id}@${incarnation}`, address: new URL(url).host };
}

/** Whether a view says that a life has ended. */
export function hasEnded(view: View, life: string): boolean {
    return !Object.values(view.backends).some(({ announcement, state }) => {
        return state !== "gone" && lifeOf(announcement).id === life;
    });
}
