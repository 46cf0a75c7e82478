import type { ReportedOrigin, ResolvedOrigin } from "../../coordination/index.js";
import { type ServerAnnouncement, softwareVersionOf } from "../../protocol/index.js";
import type { CallerRequest } from "./callerRequest.js";
import type { StreamVersions } from "./streamVersions.js";

/**
 * How long the first event waits until more than half of the directories know which version began the stream. One that is sent without
 * can't be resumed elsewhere if this gateway fails.
 */
const originTimeoutMilliseconds = 100;
/**
 * How long a stream waits for more than half of the directories to know the version of the engine that it was placed on: a new stream, which can
 * run elsewhere, and one that is resumed, which can't.
 */
const newVersionTimeoutMilliseconds = 100;
const resumedVersionTimeoutMilliseconds = 1_000;

/** Retry-After for a stream whose version isn't known: if this gateway reaches too few directories, and if none knows it. */
const unreachedRetryAfterMilliseconds = 300;
const unknownVersionRetryAfterMilliseconds = 1_000;

/** Why a stream may not run at an engine, and the milliseconds until its caller should come back; undefined if it may run at another one. */
export type EngineObjection = { readonly cause: string; readonly retryAfter: number | undefined; };

/** Milliseconds until the caller of a stream whose version isn't known should come back. */
export function retryAfterUnknown({ isReported }: Extract<ResolvedOrigin, { kind: "unknown"; }>): number {
    return isReported ? unknownVersionRetryAfterMilliseconds : unreachedRetryAfterMilliseconds;
}

/** The software version that one stream is bound to: that of the first engine that is sent a run of it. */
export class StreamBinding {
    /** Whether the request continues a stream that its caller has received a part of. */
    readonly resumesStream: boolean;
    private boundVersion: string | undefined;
    /** Number of versions that it was bound to. */
    private bindings = 0;
    private reportedOrigin: ReportedOrigin | undefined;

    private constructor(
        private readonly versions: StreamVersions,
        private readonly request: CallerRequest,
        private readonly service: string,
    ) {
        const { resumes, lastEvent = "" } = request.metadata;
        this.resumesStream = resumes !== undefined || lastEvent !== "";
    }

    static create(versions: StreamVersions, request: CallerRequest, service: string): StreamBinding {
        return new StreamBinding(versions, request, service);
    }

    /** Version of the engines that may run it; undefined while any may. */
    get version(): string | undefined {
        return this.boundVersion;
    }

    /** Engines that it can't begin at yet: too few directories know their versions to tell later where it began. */
    enginesToAvoid(): readonly string[] {
        return this.request.route.resumable ? this.versions.unestablishedEngines(this.service).map(({ id }) => id) : [];
    }

    /** Why it may not run at an engine that it was placed on; undefined if it may, which it waits for shortly. */
    async objectionTo(engine: ServerAnnouncement): Promise<EngineObjection | undefined> {
        const version = softwareVersionOf(engine);
        if (this.boundVersion !== undefined && this.boundVersion !== version) {
            return { cause: `the placed engine has version ${version}`, retryAfter: undefined };
        }
        if (!this.request.route.resumable || this.versions.isEstablished(engine)) {
            return undefined;
        }
        const isNew = this.boundVersion === undefined;
        const timeout = isNew ? newVersionTimeoutMilliseconds : resumedVersionTimeoutMilliseconds;
        if (await this.versions.waitUntilEstablished(this.service, version, timeout)) {
            return undefined;
        }
        const cause = `too few directories know version ${version} of the placed engine`;
        const canRunElsewhere = isNew && this.versions.hasEstablishedEngine(this.service);
        return { cause, retryAfter: canRunElsewhere ? undefined : unreachedRetryAfterMilliseconds };
    }

    /** Finds the version that began the stream which the request resumes, and binds it to that. */
    async resolve(): Promise<ResolvedOrigin> {
        const origin = await this.versions.resolve(this.request, this.service);
        if (origin.kind === "known") {
            this.boundVersion = origin.version;
        }
        return origin;
    }

    /**
     * Binds the stream to the version of its first run, whether that sends anything or not: directories may know of it already. Returns
     * whether it has been bound by this.
     */
    bindTo(engine: ServerAnnouncement): boolean {
        if (this.boundVersion !== undefined || !this.request.route.resumable) {
            return false;
        }
        this.bindings += 1;
        this.boundVersion = softwareVersionOf(engine);
        this.reportedOrigin = this.versions.begin(this.request, this.service, this.boundVersion, this.bindings);
        return true;
    }

    /** Lets the stream begin at another version, since no engine of this one is left and its caller has received nothing. */
    unbind(): void {
        this.boundVersion = undefined;
    }

    /**
     * Waits until the directories know where the stream begins. Returns false if its first event can't be sent, because one of them
     * may know an earlier binding.
     */
    async awaitReport(): Promise<boolean> {
        const isKnown = await this.reportedOrigin?.acknowledged(originTimeoutMilliseconds) ?? true;
        return isKnown || this.bindings <= 1;
    }
}
