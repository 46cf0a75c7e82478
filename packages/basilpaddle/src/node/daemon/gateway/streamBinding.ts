import type { ReportedOrigin, ResolvedOrigin } from "../../coordination/index.js";
import { type ServerAnnouncement, softwareVersionOf } from "../../protocol/index.js";
import type { CallerRequest } from "./callerRequest.js";
import type { StreamVersions } from "./streamVersions.js";

/**
 * How long the first event waits until more than half of the directories know which version began the stream. One that is sent without
 * can't be resumed elsewhere if this gateway fails.
 */
const originTimeoutMilliseconds = 100;

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

    /** Whether an engine may run it. */
    allows(engine: ServerAnnouncement): boolean {
        return this.boundVersion === undefined || softwareVersionOf(engine) === this.boundVersion;
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
