import type { IncomingMessage, ServerResponse } from "node:http";
import type { ControlClient } from "../../coordination/index.js";
import { RequestScope } from "../../coordination/request/index.js";
import type { EntrySettings } from "../../protocol/index.js";
import type { Clock } from "../../utils/index.js";
import { waitUntilFlushed } from "./flush.js";
import type { ModelCalls } from "./modelCalls.js";
import type { ModelForm } from "./modelRequest.js";
import type { OpenRequests } from "./openRequests.js";
import { notRun, sendJson, sendRefusal } from "./reply.js";
import type { ServiceCalls } from "./services/serviceCalls.js";
import { findService, isAmbiguous } from "./services/serviceRoute.js";

const drainRetryAfterMilliseconds = 1_000;
const overloadRetryAfterMilliseconds = 1_000;

/** Limits and dependencies of the callers' routes. */
export type CallerRoutesOptions = {
    readonly calls: ModelCalls;
    readonly services: ServiceCalls;
    readonly control: ControlClient;
    readonly openRequests: OpenRequests;
    readonly clock: Clock;
    readonly limits: EntrySettings["limits"];
    readonly isReady: () => boolean;
    readonly isDraining: () => boolean;
};

const modelFormsByPath: ReadonlyMap<string, ModelForm> = new Map([
    ["/v1/chat/completions", "chat"],
    ["/v1/completions", "completion"],
]);

/** Dispatches each caller's request to the health checks, the model API or a plain service. */
export class CallerRoutes {
    private constructor(private readonly options: CallerRoutesOptions) {}

    static create(options: CallerRoutesOptions): CallerRoutes {
        return new CallerRoutes(options);
    }

    async serve(requestId: string, request: IncomingMessage, response: ServerResponse): Promise<void> {
        const path = (request.url ?? "/").split("?", 1)[0] as string;
        if (this.serveHealth(path, response)) {
            return;
        }
        if (this.options.isDraining()) {
            sendRefusal(
                response,
                notRun("shuttingDown", "this daemon is shutting down", drainRetryAfterMilliseconds),
                requestId,
            );
            return;
        }
        if (this.options.openRequests.size >= this.options.limits.openRequests) {
            const message = `${this.options.limits.openRequests} requests are already in progress at this daemon`;
            sendRefusal(response, notRun("poolFull", message, overloadRetryAfterMilliseconds), requestId);
            return;
        }
        const form = modelFormsByPath.get(path);
        if (form !== undefined) {
            if (this.requireMethod("POST", request, response, requestId)) {
                await this.track(
                    requestId,
                    response,
                    scope => this.options.calls.serve(form, path, requestId, request, response, scope),
                );
            }
            return;
        }
        if (path === "/v1/models") {
            if (this.requireMethod("GET", request, response, requestId)) {
                this.sendModels(response);
            }
            return;
        }
        await this.serveService(path, requestId, request, response);
    }

    private async serveService(
        path: string,
        requestId: string,
        request: IncomingMessage,
        response: ServerResponse,
    ): Promise<void> {
        if (isAmbiguous(path)) {
            sendRefusal(
                response,
                notRun("badRequest", "the path must be absolute and must not contain dot segments"),
                requestId,
            );
            return;
        }
        const declaration = this.options.control.view().configuration.declaration;
        const route = findService(declaration, request.headers.host, path);
        if (route === undefined) {
            sendRefusal(response, notRun("unknownRoute", `no service matches the path ${path}`), requestId);
            return;
        }
        await this.track(
            requestId,
            response,
            scope => this.options.services.serve(route, requestId, request, response, scope),
        );
    }

    /** Counts a request as in progress from when its headers are read, so that a drain waits for one that is still being received. */
    private async track(
        requestId: string,
        response: ServerResponse,
        serve: (scope: RequestScope) => Promise<void>,
    ): Promise<void> {
        const scope = RequestScope.create();
        this.options.openRequests.add(requestId, scope);
        try {
            await serve(scope);
            await waitUntilFlushed(response, this.options.limits.stalledReader, this.options.clock);
        }
        finally {
            this.options.openRequests.remove(requestId);
        }
    }

    private serveHealth(path: string, response: ServerResponse): boolean {
        if (path === "/healthz") {
            sendJson(response, 200, { status: "ok" });
            return true;
        }
        if (path === "/readyz") {
            const ready = this.options.isReady();
            sendJson(response, ready ? 200 : 503, { status: ready ? "ready" : "notReady" });
            return true;
        }
        return false;
    }

    private requireMethod(
        method: string,
        request: IncomingMessage,
        response: ServerResponse,
        requestId: string,
    ): boolean {
        if (request.method === method) {
            return true;
        }
        response.setHeader("allow", method);
        sendRefusal(response, notRun("methodNotAllowed", `${method} is expected`), requestId);
        return false;
    }

    private sendModels(response: ServerResponse): void {
        const pools = Object.values(this.options.control.view().configuration.declaration.pools);
        const names = new Set(
            pools.flatMap(pool =>
                pool.models.flatMap(model => [model.name, ...model.adapters.map(adapter => `${model.name}:${adapter}`)])
            ),
        );
        const data = [...names].map(id => ({ id, object: "model", created: 0, owned_by: "basilpaddle" }));
        sendJson(response, 200, { object: "list", data });
    }
}
