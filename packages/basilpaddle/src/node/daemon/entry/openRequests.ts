import type { RequestScope } from "../../coordination/request/index.js";

/** Tracks the requests in progress by identifier. */
export class OpenRequests {
    private readonly scopes = new Map<string, RequestScope>();
    private waiters: (() => void)[] = [];

    static create(): OpenRequests {
        return new OpenRequests();
    }

    get size(): number {
        return this.scopes.size;
    }

    add(requestId: string, scope: RequestScope): void {
        this.scopes.set(requestId, scope);
    }

    remove(requestId: string): void {
        this.scopes.delete(requestId);
        if (this.scopes.size === 0) {
            const waiters = this.waiters;
            this.waiters = [];
            waiters.forEach(resolve => resolve());
        }
    }

    /** Settles once no request is in progress. */
    untilEmpty(): Promise<void> {
        return this.scopes.size === 0 ? Promise.resolve() : new Promise(resolve => this.waiters.push(resolve));
    }

    /** Stops all requests and returns their identifiers. */
    stopAll(): readonly string[] {
        const stoppedRequests = [...this.scopes.keys()];
        this.scopes.forEach(scope => scope.stop("shuttingDown"));
        return stoppedRequests;
    }
}
