import { z } from "zod";
import { announcementSchema } from "./backend.js";
import { commandSchema, incarnationSchema } from "./command.js";
import { declarationSchema, organisationSchema, poolSchema, serviceSchema } from "./declaration.js";

const index = z.int().min(0);

/** Replicated state that every entry daemon follows; a daemon may start work on it only while the view is confirmed. */
export const viewSchema = z.object({
    /** Log index of the last view command applied to it; never decreases. */
    index,
    configuration: z.object({
        /** Incremented with each accepted change; 0 before the first. */
        revision: index,
        changeId: z.string(),
        operator: z.string(),
        declaration: declarationSchema,
    }),
    sessions: z.record(
        z.string(),
        z.object({
            session: incarnationSchema,
            failureDomain: z.string(),
            peers: z.object({ host: z.string(), port: z.int() }),
        }),
    ),
    leases: z.record(z.string(), z.object({ holder: incarnationSchema, fence: index })),
    /** Model versions for new attempts, by pool and then by model; absent until the first `moveTraffic` command. */
    served: z.record(z.string(), z.record(z.string(), z.string())).optional(),
    /** By identifier. An entry in the state `gone` is kept until the server's next announcement or until later ones evict it. */
    backends: z.record(
        z.string(),
        z.object({
            announcement: announcementSchema,
            /** `draining`: gets no new work until the holder of the orders lease clears the state. */
            state: z.enum(["ready", "draining", "leaving", "gone"]),
            /** Whether this incarnation was marked as leaving; only a higher incarnation makes the server available again. */
            left: z.boolean().optional(),
        }),
    ),
});

function recordDelta<Value extends z.ZodType>(value: Value) {
    return z.object({ set: z.record(z.string(), value), removed: z.array(z.string()) });
}

/** Difference between the declaration of a configuration change and the previous declaration. */
export const declarationDeltaSchema = z.object({
    pools: recordDelta(poolSchema),
    services: recordDelta(serviceSchema),
    organisations: recordDelta(organisationSchema),
    routes: declarationSchema.shape.routes,
    anyOrganisation: organisationSchema,
});

/** A committed command with its log index. */
export const viewStepSchema = z.object({
    index,
    command: commandSchema,
    /** Replaces the declaration of a large change; the declaration in the command is then empty. */
    delta: declarationDeltaSchema.optional(),
});

/** Replicated state that every entry daemon follows. */
export type View = z.infer<typeof viewSchema>;
/** Difference between the declaration of a configuration change and the previous declaration. */
export type DeclarationDelta = z.infer<typeof declarationDeltaSchema>;
/** A committed command with its log index. */
export type ViewStep = z.infer<typeof viewStepSchema>;

/** Name of the lease held by the scheduler of a pool. */
export function schedulerLease(pool: string): string {
    return `scheduler/${pool}`;
}

/** Name of the lease held by the only daemon that may send orders to engines. */
export const ordersLease = "orders";
