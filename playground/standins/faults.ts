import type { ServerResponse } from "node:http";
import { type Call, respondWithJson } from "./httpServer.js";
import { type Fault, faultSchema } from "./settings.js";

/** The active faults of a stand-in, and the number of calls that each may still affect. */
export class Faults {
    private active: { readonly fault: Fault; remaining: number; }[] = [];

    private constructor(private readonly crash: () => void) {}

    static create(crash: () => void): Faults {
        return new Faults(crash);
    }

    /** POST /fault activates a fault; DELETE /fault deactivates all. */
    control(call: Call): void {
        if (call.method === "DELETE") {
            this.active = [];
        }
        else if (call.method === "POST") {
            this.add(faultSchema.parse(JSON.parse(call.body)));
        }
        respondWithJson(call.response, 200, this.active.map(({ fault }) => fault));
    }

    add(fault: Fault): void {
        if (fault.kind === "die" && fault.path === undefined) {
            this.crash();
            return;
        }
        this.active.push({ fault, remaining: fault.count ?? Infinity });
    }

    /** Factor by which all processing times are multiplied at present. */
    slowdownFactor(): number {
        return this.active.find(({ fault }) => fault.kind === "slow")?.fault.factor ?? 1;
    }

    /** Whether to ignore this cancel; uses up one call of the fault. */
    takeCancelDrop(): boolean {
        return this.take(fault => fault.kind === "dropCancel") !== undefined;
    }

    /** The fault to inject into this decode stream after some of its tokens; uses up one call of the fault. */
    takeStreamFault(): Fault | undefined {
        return this.take(fault => fault.afterTokens !== undefined);
    }

    /** Injects the first matching fault instead of handling the call; returns whether there was one. */
    inject(call: Call): boolean {
        const last = call.path.split("/").at(-1);
        const fault = this.take(candidate =>
            candidate.afterTokens === undefined && candidate.kind !== "slow" && candidate.kind !== "dropCancel"
            && (candidate.path === undefined || candidate.path === last)
        );
        if (fault === undefined) {
            return false;
        }
        this.injectInto(fault, call.response);
        return true;
    }

    /** Makes the fault take effect on a response. */
    injectInto(fault: Fault, response: ServerResponse): void {
        switch (fault.kind) {
            case "die":
                this.crash();
                break;
            case "reset":
                response.socket?.resetAndDestroy();
                break;
            case "refuse":
                respondWithJson(response, 503, { notRun: true, code: "full", message: "refused by an injected fault" });
                break;
            case "plain503":
                response.writeHead(503, { "content-type": "text/plain" }).end("busy");
                break;
            case "garbage":
                if (!response.headersSent) {
                    response.writeHead(200);
                }
                response.end("{ not JSON }\n");
                break;
            case "hang":
            case "slow":
            case "dropCancel":
                break;
        }
    }

    private take(matches: (fault: Fault) => boolean): Fault | undefined {
        const found = this.active.find(({ fault, remaining }) => remaining > 0 && matches(fault));
        if (found === undefined) {
            return undefined;
        }
        found.remaining -= 1;
        this.active = this.active.filter(({ remaining }) => remaining > 0);
        return found.fault;
    }
}
