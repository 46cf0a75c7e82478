import { Agent, Client, type Dispatcher } from "undici";
import type { Announcement, View } from "../../../protocol/index.js";
import { guardedConnector } from "../../../transport/index.js";
import type { Randomness } from "../../../utils/index.js";

const connectTimeoutMilliseconds = 1_000;
/** Shorter than the usual 5 s of servers, so that a service rarely closes a connection while a request is sent on it. */
const keepAliveTimeoutMilliseconds = 2_000;
const maxConnectionsPerInstance = 64;
/** Undici's default timeouts would end long or idle streams; each call has its own timeout. */
const noTimeouts = { headersTimeout: 0, bodyTimeout: 0 };
/** Bounds of answers apart from their bodies, in bytes and milliseconds. */
const answerBounds = { headBytes: 16_384, headTime: 3_000, framingBytes: 16_384 };
const connectErrorCodes = new Set([
    "ECONNREFUSED",
    "EHOSTUNREACH",
    "ENETUNREACH",
    "EADDRNOTAVAIL",
    "UND_ERR_CONNECT_TIMEOUT",
]);

/** Whether the error proves that no byte of the request was sent. */
export function provesNothingSent(failure: unknown): boolean {
    return connectErrorCodes.has((failure as { readonly code?: string; }).code ?? "");
}

/** Connections to plain services, and the number of open calls at each instance. */
export class ServiceConnections {
    /** For idempotent calls. */
    readonly shared: Dispatcher = new Agent({
        ...noTimeouts,
        connect: guardedConnector(connectTimeoutMilliseconds, answerBounds),
        connections: maxConnectionsPerInstance,
        keepAliveTimeout: keepAliveTimeoutMilliseconds,
        keepAliveMaxTimeout: keepAliveTimeoutMilliseconds,
        pipelining: 1,
    });
    private readonly openCalls = new Map<string, number>();

    private constructor(private readonly randomness: Randomness) {}

    static create(randomness: Randomness): ServiceConnections {
        return new ServiceConnections(randomness);
    }

    /** Picks the less busy of two ready instances drawn at random. */
    pick(view: View, service: string, isExcluded: (instance: Announcement) => boolean): Announcement | undefined {
        const instances = Object.values(view.backends)
            .filter(({ announcement, state }) => state === "ready" && announcement.role === "service")
            .map(({ announcement }) => announcement)
            .filter(instance => instance.pool === service && !isExcluded(instance));
        if (instances.length === 0) {
            return undefined;
        }
        const firstCandidate = instances[this.randomness.integer(0, instances.length - 1)] as Announcement;
        const secondCandidate = instances[this.randomness.integer(0, instances.length - 1)] as Announcement;
        return this.openCallsAt(firstCandidate) <= this.openCallsAt(secondCandidate) ? firstCandidate : secondCandidate;
    }

    /** Counts a call as open until the returned function is called. */
    trackCall(instance: Announcement): () => void {
        this.openCalls.set(instance.id, this.openCallsAt(instance) + 1);
        return () => {
            const remaining = this.openCallsAt(instance) - 1;
            if (remaining > 0) {
                this.openCalls.set(instance.id, remaining);
            }
            else {
                this.openCalls.delete(instance.id);
            }
        };
    }

    /**
     * Creates a dedicated connection for one call that must not be retried. The service may just have closed its end of
     * a kept-alive connection, and the reset that follows doesn't show whether the service received the request.
     */
    createDedicated(instance: Announcement): Dispatcher {
        return new Client(instance.url, {
            ...noTimeouts,
            connect: guardedConnector(connectTimeoutMilliseconds, answerBounds),
            pipelining: 1,
        });
    }

    async close(): Promise<void> {
        await this.shared.destroy();
    }

    private openCallsAt(instance: Announcement): number {
        return this.openCalls.get(instance.id) ?? 0;
    }
}
