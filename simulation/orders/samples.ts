import {
    type Announcement,
    announcementSchema,
    declarationSchema,
    type Pool,
    poolSchema,
    type View,
} from "../../packages/basilpaddle/src/node/protocol/index.js";
import { emptyView } from "../../packages/basilpaddle/src/node/state/index.js";

/** Name of the pool in sample announcements and views. */
export const poolName = "drafting";

/** A declared pool of one model with one prefill and two decode copies. */
export function pool(overrides: Partial<Pool> = {}): Pool {
    return poolSchema.parse({
        models: [{ name: "m", version: "2" }],
        copies: { prefill: 1, decode: 2 },
        ...overrides,
    });
}

/** The announcement of a decode engine. */
export function engineAnnouncement(id: string, overrides: Partial<Announcement> = {}): Announcement {
    const url = "http://127.0.0.9:8000";
    return announcementSchema.parse({
        id,
        incarnation: 1,
        url,
        failureDomain: "hall-a",
        role: "decode",
        pool: poolName,
        ...overrides,
    });
}

/** A view with one declared pool and its engines, which are ready unless listed in `draining`. */
export function viewOf(declared: Pool, engines: readonly Announcement[], draining: readonly string[] = []): View {
    const view = emptyView();
    return {
        ...view,
        configuration: {
            ...view.configuration,
            revision: 1,
            declaration: declarationSchema.parse({ pools: { [poolName]: declared } }),
        },
        backends: Object.fromEntries(engines.map(announcement => [
            announcement.id,
            { announcement, state: draining.includes(announcement.id) ? "draining" : "ready" },
        ])),
    };
}
