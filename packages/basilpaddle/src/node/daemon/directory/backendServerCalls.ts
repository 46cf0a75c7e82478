import { type Either, Left, Right } from "purify-ts";
import { z } from "zod";
import {
    type Finding,
    findingsFromZodError,
    identifierSchema,
    incarnationOf,
    type ServerAnnouncement,
    serverAnnouncementSchema,
} from "../../protocol/index.js";
import type { Logger } from "../../utils/index.js";
import type { CallResponse } from "./callServer.js";
import type { Departure, DirectoryWire } from "./directoryWire.js";
import type { ServerMembership } from "./serverMembership.js";

/** Only the first findings of a rejected call are logged. */
const maxLoggedFindings = 3;

/** Dependencies of `BackendServerCalls`. */
export type BackendServerCallsOptions = {
    readonly wire: DirectoryWire;
    readonly membership: ServerMembership;
    readonly logger: Logger;
};

/** Parses the calls of backend servers: heartbeats and leave calls. */
export class BackendServerCalls {
    private constructor(private readonly options: BackendServerCallsOptions) {}

    static create(options: BackendServerCallsOptions): BackendServerCalls {
        return new BackendServerCalls(options);
    }

    /** Handles a heartbeat. */
    announce(name: string, body: string): Promise<CallResponse> {
        const { wire, membership } = this.options;
        return this.applyCall(
            name,
            wire.parseAnnouncement(name, body).chain(validateAnnouncement),
            announced => membership.announce(announced),
        );
    }

    /** Handles a backend server's call that it leaves. */
    leave(name: string, body: string): Promise<CallResponse> {
        const { wire, membership } = this.options;
        return this.applyCall(
            name,
            wire.parseDeparture(name, body).chain(validateDeparture),
            departure => membership.leave(departure),
        );
    }

    /** Applies a valid call. An invalid one is rejected: it may come from another program and identifies no usable server. */
    private async applyCall<T>(
        name: string,
        parsedBody: Either<readonly Finding[], T>,
        apply: (value: T) => Promise<CallResponse>,
    ): Promise<CallResponse> {
        return parsedBody.caseOf<CallResponse | Promise<CallResponse>>({
            Left: findings => {
                this.options.logger.warn("rejected an invalid call of a backend server", {
                    name,
                    findings: findings.slice(0, maxLoggedFindings),
                });
                return { kind: "invalid", findings };
            },
            Right: apply,
        });
    }
}

/**
 * Validates an announcement against the schema under which it is sent to watchers. A single invalid value, such as a
 * sequence of 1.5, would make every watcher discard the whole update, and with it everything this directory reports.
 */
function validateAnnouncement(announced: ServerAnnouncement): Either<readonly Finding[], ServerAnnouncement> {
    const parsed = serverAnnouncementSchema.safeParse(announced);
    return parsed.success ? Right(parsed.data) : Left(findingsFromZodError("announcement", parsed.error));
}

/** Validates the name and incarnation of a leave call, which are published like those of an announcement. */
function validateDeparture(departure: Departure): Either<readonly Finding[], Departure> {
    const { name, startedAt } = departure;
    const parsed = z.array(identifierSchema).safeParse([name, incarnationOf(name, startedAt)]);
    return parsed.success ? Right(departure) : Left(findingsFromZodError("leave call", parsed.error));
}
