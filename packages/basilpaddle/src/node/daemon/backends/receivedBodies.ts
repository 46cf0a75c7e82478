import type { Clock, Logger, Metrics } from "../../utils/index.js";
import { BoundedLog } from "../listeners/boundedLog.js";
import { UnfinishedBodies } from "./unfinishedBodies.js";

/** Part of the limit of all bodies that callers' may take, so that answers to them can still be read. */
const callersFraction = 0.5;

/** What is held for one body. */
type Share = {
    readonly bytes: number;
    readonly tryReserve: (bytes: number, fraction: number) => boolean;
    readonly hasEnded: () => boolean;
    readonly release: () => void;
};

/** The account of all bodies, as far as callers' bodies need it. */
export type SharedAccount = {
    readonly limit: number;
    readonly bytes: number;
    readonly hold: (holder: Readonly<Record<string, string>>) => Share;
};

/** Why a body that isn't whole gives way to another one. */
type GivenWayCause =
    /** Nothing came of it for a second. */
    | "stalled"
    /** It is the largest, and larger than the one that it gives way to. */
    | "largest";

/** A body that a caller sends, and the bytes that are held for it. */
export class ReceivedBody {
    private isWhole = false;

    /** `onGiveWay`: called when it gives way before it is whole; its bytes mustn't be kept from then on. */
    constructor(
        private readonly bodies: ReceivedBodies,
        private readonly holding: Share,
        readonly onGiveWay: () => void,
    ) {}

    get bytes(): number {
        return this.holding.bytes;
    }

    /** Whether that many more bytes may be kept. If not, it is released. */
    reserve(bytes: number): boolean {
        return !this.holding.hasEnded() && this.bodies.reserve(this, this.holding, bytes);
    }

    /** To be called once it is whole: it doesn't give way any more. */
    recordWhole(): void {
        this.isWhole = true;
        this.bodies.recordEnd(this);
    }

    /** To be called once its bytes aren't kept any more. */
    release(): void {
        if (!this.holding.hasEnded()) {
            if (!this.isWhole) {
                this.bodies.recordEnd(this);
            }
            this.holding.release();
        }
    }
}

/**
 * What callers' bodies may take of the account of all bodies, and who gives way if there is no room: those of which nothing comes, then
 * the largest that isn't whole. No answer of a server gives way to a caller's body.
 */
export class ReceivedBodies {
    private readonly unfinished: UnfinishedBodies<ReceivedBody>;
    private readonly log: BoundedLog;
    private unfinishedBytes = 0;

    private constructor(
        private readonly held: SharedAccount,
        clock: Clock,
        logger: Logger,
        private readonly metrics: Metrics,
    ) {
        this.unfinished = UnfinishedBodies.create(clock);
        this.log = BoundedLog.create(logger, clock);
    }

    static create(held: SharedAccount, clock: Clock, logger: Logger, metrics: Metrics): ReceivedBodies {
        return new ReceivedBodies(held, clock, logger, metrics);
    }

    /** Begins to keep a body; `onGiveWay` is called if it gives way before it is whole. */
    receive(onGiveWay: () => void): ReceivedBody {
        const body = new ReceivedBody(this, this.held.hold({}), onGiveWay);
        this.unfinished.recordProgress(body);
        return body;
    }

    /** For `ReceivedBody`. */
    reserve(body: ReceivedBody, holding: Share, bytes: number): boolean {
        this.unfinished.recordProgress(body);
        if (!holding.tryReserve(bytes, callersFraction) && !this.makeRoom(body, holding, bytes)) {
            body.release();
            return false;
        }
        this.unfinishedBytes += bytes;
        return true;
    }

    /** For `ReceivedBody`. */
    recordEnd(body: ReceivedBody): void {
        this.unfinished.delete(body);
        this.unfinishedBytes -= body.bytes;
    }

    /** Makes others give way to a body, unless all of them together wouldn't be enough. */
    private makeRoom(body: ReceivedBody, holding: Share, bytes: number): boolean {
        const without = this.held.bytes - (this.unfinishedBytes - body.bytes);
        if (without + bytes > this.held.limit * callersFraction) {
            return false;
        }
        do {
            const stalled = this.unfinished.stalled();
            const other = stalled ?? this.unfinished.largestOver(body.bytes + bytes);
            if (other === undefined) {
                return false;
            }
            this.giveWay(other, stalled === undefined ? "largest" : "stalled");
        } while (!holding.tryReserve(bytes, callersFraction));
        return true;
    }

    private giveWay(body: ReceivedBody, cause: GivenWayCause): void {
        this.metrics.count("basilpaddle_caller_bodies_given_way_total", { cause });
        const { bytes } = this.held;
        this.log.warn("a caller's body gave way", { cause, bytes: body.bytes, held: bytes, limit: this.held.limit });
        body.release();
        body.onGiveWay();
    }
}
