import { type DocumentAnswer, documentAnswerSchema, type DocumentCall } from "../../protocol/index.js";
import { type Link, type Network, parseAddress } from "../../transport/index.js";
import type { Logger } from "../../utils/index.js";
import type { CallAnswer } from "./callServer.js";
import type { DirectoryWire } from "./directoryWire.js";
import type { DocumentGroup } from "./documentGroup.js";

/** Milliseconds for the leader to answer a call that was passed on to it: callers wait no longer than a second. */
const leaderTimeout = 950;
/** Findings of one refused configuration that are logged. */
const mostFindings = 3;

/** What calls about the configuration are answered from. */
export type ConfigurationCallsOptions = {
    /** The directory's own name. */
    readonly name: string;
    readonly group: DocumentGroup;
    readonly wire: DirectoryWire;
    readonly network: Network;
    readonly logger: Logger;
};

/** Answers the operators' calls to store and to read the configuration, here or at the directory that leads. */
export class ConfigurationCalls {
    private leaderLink: { readonly name: string; readonly link: Link; } | undefined;

    private constructor(private readonly options: ConfigurationCallsOptions) {}

    static create(options: ConfigurationCallsOptions): ConfigurationCalls {
        return new ConfigurationCalls(options);
    }

    /** An operator sent a configuration. */
    async store(body: string): Promise<CallAnswer> {
        const { wire, group, logger } = this.options;
        const traffic = wire.traffic(body);
        if (traffic.isLeft()) {
            const findings = traffic.swap().orDefault([]);
            logger.warn("an invalid configuration was refused", { findings: findings.slice(0, mostFindings) });
            return { kind: "invalid", findings };
        }
        const { version } = traffic.unsafeCoerce();
        const answer = await this.passOn({ kind: "storeDocument", version, content: body });
        logger.info("a configuration was sent", { version, outcome: answer.kind, inForce: group.current().version });
        return answer.kind === "stored" ? { kind: "done" } : unavailable(answer);
    }

    /** An operator asks for the newest configuration. */
    async read(): Promise<CallAnswer> {
        const answer = await this.passOn({ kind: "readDocument" });
        if (answer.kind !== "read") {
            return unavailable(answer);
        }
        return answer.version < 0
            ? { kind: "unavailable", reason: "there is no configuration yet" }
            : { kind: "document", content: answer.content };
    }

    /** Carries a call out here, for a directory that takes this one for the leader. */
    answer(call: DocumentCall): Promise<DocumentAnswer> {
        const { group } = this.options;
        return call.kind === "readDocument" ? group.readDocument() : group.storeDocument(call.version, call.content);
    }

    /** Closes the link to the leader. */
    close(): void {
        this.leaderLink?.link.close();
        this.leaderLink = undefined;
    }

    /** Carries a call out here where this directory leads, else at the leader. */
    private async passOn(call: DocumentCall): Promise<DocumentAnswer> {
        const { group, name } = this.options;
        const standing = group.standing();
        if (standing?.leading === true) {
            return this.answer(call);
        }
        const leader = standing?.leader;
        if (leader === undefined || leader === name) {
            return { kind: "unavailable", reason: "no leader is known" };
        }
        const answer = await this.linkTo(leader)?.request(call, leaderTimeout);
        const parsed = documentAnswerSchema.safeParse(answer?.toMaybe().extract());
        return parsed.success ? parsed.data : { kind: "unavailable", reason: "the leader gave no answer" };
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

function unavailable(answer: DocumentAnswer): CallAnswer {
    return { kind: "unavailable", reason: answer.kind === "unavailable" ? answer.reason : "an unexpected answer" };
}
