import {
    type AnswerBound,
    type AnswerBounds,
    answerBoundsSchema,
    type ServerAnnouncement,
} from "../../protocol/index.js";
import { createSilentLogger, type Logger, type Metrics, SilentMetrics } from "../../utils/index.js";
import type { ConnectionWay } from "./connectionOpener.js";
import { HeldBytes } from "./heldBytes.js";

/** Number of received bytes that are logged when a bound is exceeded. */
const loggedBytes = 64;

/** How the connection of an answer without a length ended: by its regular end, by a reset, by one that was reported as an end, or by a fault on this side. */
export type AnswerEnding = "end" | "reset" | "resetAtEnd" | "fault";

/** The failure of an answer that exceeds a bound. */
export class BoundExceeded extends Error {
    private constructor(readonly bound: AnswerBound, readonly code: string, message: string) {
        super(message);
    }

    static create(bound: AnswerBound, limit: number): BoundExceeded {
        const code = `ANSWER_${bound.replace(/[A-Z]/g, letter => `_${letter}`).toUpperCase()}`;
        return new BoundExceeded(bound, code, `the answer exceeds ${bound} ${limit}`);
    }
}

/** Dependencies of `AnswerLimits`. */
export type AnswerLimitsOptions = {
    readonly bounds: AnswerBounds;
    readonly logger: Logger;
    readonly metrics: Metrics;
    /** Account of the bodies that are kept. @default one of its own */
    readonly held?: HeldBytes;
};

/** The bounds of backend servers' answers, and what is logged and counted when one is exceeded, or ends with its connection. */
export class AnswerLimits {
    /** Account of the bodies that are kept. */
    readonly held: HeldBytes;

    private constructor(private readonly options: AnswerLimitsOptions) {
        this.held = options.held ?? HeldBytes.createDefault();
    }

    static create(options: AnswerLimitsOptions): AnswerLimits {
        return new AnswerLimits(options);
    }

    /** The default bounds, without logs and metrics. */
    static createDefault(): AnswerLimits {
        return new AnswerLimits({
            bounds: answerBoundsSchema.parse({}),
            logger: createSilentLogger(),
            metrics: SilentMetrics.create(),
        });
    }

    get bounds(): AnswerBounds {
        return this.options.bounds;
    }

    /** Logs and counts an answer beyond a bound; `bytes`: what was received first of it. Returns the error to fail it with. */
    exceeded(server: Pick<ServerAnnouncement, "id" | "address">, bound: AnswerBound, bytes: Buffer): BoundExceeded {
        const { bounds, logger, metrics } = this.options;
        const limit = bound === "afterAnswer" ? 0 : bounds[bound];
        metrics.count("basilpaddle_answer_bounds_exceeded_total", { bound });
        logger.warn("a backend server sent more than an answer may have", {
            server: server.id,
            address: server.address,
            bound,
            limit,
            bytes: escapeBytes(bytes),
        });
        return BoundExceeded.create(bound, limit);
    }

    /** Counts an answer that its connection alone ends; logs one that wasn't ended in the regular way. `way`: of its connection. */
    endedByConnection(
        server: Pick<ServerAnnouncement, "id" | "address">,
        attempt: string | undefined,
        way: ConnectionWay,
        ending: AnswerEnding,
    ): void {
        const { logger, metrics } = this.options;
        metrics.count("basilpaddle_answers_without_length_total", { ending, way });
        if (ending !== "end") {
            logger.info("an answer without a length was cut", {
                request: attempt,
                server: server.id,
                address: server.address,
                ending,
                way,
            });
        }
    }
}

/** The first bytes as text in which all but printable ASCII is escaped. */
export function escapeBytes(bytes: Buffer): string {
    return [...bytes.subarray(0, loggedBytes)].map(byte => {
        const isPrintable = byte >= 0x20 && byte < 0x7f && byte !== 0x5c;
        return isPrintable ? String.fromCharCode(byte) : `\\x${byte.toString(16).padStart(2, "0")}`;
    }).join("");
}
