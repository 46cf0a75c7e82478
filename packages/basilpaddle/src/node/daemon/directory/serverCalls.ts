import { type Either, Left, Right } from "purify-ts";
import { type Announced, announcedSchema, type Finding, findingsOf } from "../../protocol/index.js";
import type { Logger } from "../../utils/index.js";
import type { CallAnswer } from "./callServer.js";
import type { DirectoryWire } from "./directoryWire.js";
import type { ServerHearing } from "./serverHearing.js";

/** Findings of one refused call that are logged. */
const mostFindings = 3;

/** What calls of backend servers are answered from. */
export type ServerCallsOptions = {
    readonly wire: DirectoryWire;
    readonly hearing: ServerHearing;
    /**
     * Whether gateways hear what this directory hears. An acknowledged word that reached nobody would let a leaving
     * server believe that no more work comes.
     */
    readonly watched: () => boolean;
    readonly logger: Logger;
};

/** Answers the calls of backend servers: heartbeats, and word that they leave. */
export class ServerCalls {
    private constructor(private readonly options: ServerCallsOptions) {}

    static create(options: ServerCallsOptions): ServerCalls {
        return new ServerCalls(options);
    }

    /** A heartbeat. */
    announce(name: string, body: string): CallAnswer {
        const { wire, hearing } = this.options;
        return this.answer(name, wire.announcement(name, body).chain(sound), announced => hearing.announce(announced));
    }

    /** Word that a backend server leaves. */
    leave(name: string, body: string): CallAnswer {
        const { wire, hearing } = this.options;
        return this.answer(name, wire.departure(name, body), departure => hearing.leave(departure));
    }

    /** Takes a word that is in form; any other one may come from another program, and names no server to use. */
    private answer<T>(name: string, read: Either<readonly Finding[], T>, take: (value: T) => void): CallAnswer {
        const { watched, logger } = this.options;
        if (!watched()) {
            return { kind: "unavailable", reason: "no gateway watches this directory" };
        }
        return read.caseOf<CallAnswer>({
            Left: findings => {
                logger.warn("an announcement was refused", { name, findings: findings.slice(0, mostFindings) });
                return { kind: "invalid", findings };
            },
            Right: value => {
                take(value);
                return { kind: "done" };
            },
        });
    }
}

/**
 * Checks what a backend server says against the form in which it is passed on. One value that this form doesn't allow, a
 * sequence of 1.5 say, would make every watcher throw away the whole answer, and with it all that this directory hears.
 */
function sound(announced: Announced): Either<readonly Finding[], Announced> {
    const parsed = announcedSchema.safeParse(announced);
    return parsed.success ? Right(parsed.data) : Left(findingsOf("announcement", parsed.error));
}
