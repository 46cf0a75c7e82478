import { announcementSchema, type Command, declarationSchema, type Incarnation } from "../../protocol/index.js";

/** Builds commands for tests; fields that tests rarely care about have fixed values. */
export const commands = {
    session(daemon: string, incarnation = "1"): Incarnation {
        return { daemon, incarnation };
    },
    open(daemon: string, incarnation = "1"): Command {
        const peers = { host: "127.0.0.1", port: 1 };
        return { kind: "openSession", session: { daemon, incarnation }, failureDomain: "pocitos", peers, at: 1 };
    },
    close(daemon: string, incarnation = "1"): Command {
        return { kind: "closeSession", session: { daemon, incarnation }, reason: "silent", at: 1 };
    },
    grant(lease: string, daemon: string, incarnation = "1"): Command {
        return { kind: "grantLease", lease, holder: { daemon, incarnation }, at: 1 };
    },
    change(changeId: string, base: number, operator = "ana", pool = "drafting"): Command {
        const declaration = declarationSchema.parse({
            pools: { [pool]: { models: [{ name: "m", version: "1" }], copies: { prefill: 1, decode: 1 } } },
        });
        const files = [{ name: "10-pools.json", text: `{"${pool}":1}` }];
        return {
            kind: "changeConfiguration",
            change: { changeId, operator, base, declaration, files, note: "" },
            at: 1,
        };
    },
    announce(id: string, incarnation: number): Command {
        const url = "http://127.0.0.9:8000";
        const announcement = announcementSchema.parse({
            id,
            incarnation,
            url,
            failureDomain: "pocitos",
            role: "decode",
            pool: "drafting",
        });
        return { kind: "announceBackend", announcement, at: 1 };
    },
    mark(id: string, incarnation: number, mark: "leaving" | "gone"): Command {
        return { kind: "markBackend", id, incarnation, mark, by: "entry-1", at: 1 };
    },
    start(key: string, token: string, digest = "d"): Command {
        const owner = { daemon: "entry-1", incarnation: "1" };
        return { kind: "startRun", key, digest, owner, token, at: 1 };
    },
    finish(key: string, token: string, body = "notice"): Command {
        const answer = { status: 200, headers: {}, body: new TextEncoder().encode(body) };
        return { kind: "finishRun", key, token, result: "answered", answer, at: 2 };
    },
    release(key: string, token: string): Command {
        return { kind: "releaseRun", key, token, at: 2 };
    },
};
