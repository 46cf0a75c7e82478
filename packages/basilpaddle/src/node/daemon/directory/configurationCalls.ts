import { type DocumentAnswer, documentAnswerSchema, type DocumentCall } from "../../protocol/index.js";
import { type Link, type Network, parseAddress } from "../../transport/index.js";
import type { Logger } from "../../utils/index.js";
import type { CallResponse } from "./callServer.js";
import type { DirectoryWire } from "./directoryWire.js";
import type { DocumentGroup } from "./documentGroup.js";

/** Timeout of a call that is forwarded to the leader: callers wait no longer than a second. */
const leaderTimeoutMilliseconds = 950;
/** Only the first findings of a rejected configuration are logged. */
const maxLoggedFindings = 3;

/** Dependencies of `ConfigurationCalls`. */
export type ConfigurationCallsOptions = {
    /** This directory's name, as it appears as leader in the group's status. */
    readonly name: string;
    readonly group: DocumentGroup;
    readonly wire: DirectoryWire;
    readonly network: Network;
    readonly logger: Logger;
};

/** Handles operators' calls to store and to read the configuration: locally on the leader, otherwise by forwarding to it. */
export class ConfigurationCalls {
    private leaderLink: { readonly name: string; readonly link: Link; } | undefined;

    private constructor(private readonly options: ConfigurationCallsOptions) {}

    static create(options: ConfigurationCallsOptions): ConfigurationCalls {
        return new ConfigurationCalls(options);
    }

    /** Validates a configuration sent by an operator and stores it in the group. */
    async store(body: string): Promise<CallResponse> {
        const { wire, group, logger } = this.options;
        const traffic = wire.parseTraffic(body);
        if (traffic.isLeft()) {
            const findings = traffic.swap().orDefault([]);
            logger.warn("rejected an invalid configuration", { findings: findings.slice(0, maxLoggedFindings) });
            return { kind: "invalid", findings };
        }
        const { version } = traffic.unsafeCoerce();
        const answer = await this.forwardToLeader({ kind: "storeDocument", version, content: body });
        logger.info("processed a configuration sent by an operator", {
            version,
            outcome: answer.kind,
            inForce: group.current().version,
        });
        return answer.kind === "stored" ? { kind: "done" } : toUnavailable(answer);
    }

    /** Returns the newest configuration, confirmed by a quorum. */
    async read(): Promise<CallResponse> {
        const answer = await this.forwardToLeader({ kind: "readDocument" });
        if (answer.kind !== "read") {
            return toUnavailable(answer);
        }
        return answer.version < 0
            ? { kind: "unavailable", reason: "no configuration has been stored yet" }
            : { kind: "document", content: answer.content };
    }

    /** Executes a call on this member, also for a directory that believes this one to be the leader. */
    execute(call: DocumentCall): Promise<DocumentAnswer> {
        const { group } = this.options;
        return call.kind === "readDocument" ? group.readDocument() : group.storeDocument(call.version, call.content);
    }

    /** Closes the link to the leader. */
    close(): void {
        this.leaderLink?.link.close();
        this.leaderLink = undefined;
    }

    /** Executes the call locally if this directory leads, otherwise at the known leader. */
    private async forwardToLeader(call: DocumentCall): Promise<DocumentAnswer> {
        const { group, name } = this.options;
        const status = group.replicaStatus();
        if (status?.leading === true) {
            return this.execute(call);
        }
        const leader = status?.leader;
        if (leader === undefined || leader === name) {
            return { kind: "unavailable", reason: "no leader is known" };
        }
        const answer = await this.linkTo(leader)?.request(call, leaderTimeoutMilliseconds);
        const parsed = documentAnswerSchema.safeParse(answer?.toMaybe().extract());
        return parsed.success ? parsed.data : { kind: "unavailable", reason: "no valid answer from the leader" };
    }

    private linkTo(name: string): Link | undefined {
        if (this.leaderLink?.name !== name) {
            this.leaderLink?.link.close();
            const address = parseAddress(name);
            const { network } = this.options;
            this.leaderLink = address === undefined ? undefined : { name, link: network.link(address) };
        }
        return this.leaderLink?.link;
    }
}

function toUnavailable(answer: DocumentAnswer): CallResponse {
    return {
        kind: "unavailable",
        reason: answer.kind === "unavailable" ? answer.reason : "unexpected answer from the leader",
    };
}
