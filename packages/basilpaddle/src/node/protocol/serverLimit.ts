import { z } from "zod";
import { identifierSchema } from "./identity.js";

/** Requests per second that a backend server takes from all gateways together, as its last answer named it. */
export const limitObservationSchema = z.object({
    server: identifierSchema,
    /** Absent: it names no limit any more. */
    limit: z.number().min(0).optional(),
    /** Milliseconds since the answer. */
    age: z.number().min(0),
});

/** Message of a gateway to the leading directory about the limits that backend servers name. */
export const serverLimitMessageSchema = z.discriminatedUnion("kind", [
    /** What answers have named, or no longer named. No reply. */
    z.object({ kind: z.literal("limits"), observed: z.array(limitObservationSchema) }),
    /** Asks whether a request may be sent to a server that names a limit, within so many milliseconds. */
    z.object({ kind: z.literal("admit"), observed: limitObservationSchema, within: z.number().min(0) }),
]);

/** Whether a request may be sent, after a wait in milliseconds; if not, when the server has room again. */
export const admissionSchema = z.discriminatedUnion("admitted", [
    z.object({ admitted: z.literal(true), wait: z.number().min(0) }),
    z.object({ admitted: z.literal(false), comeBackIn: z.number().min(0) }),
]);

/** Reply of the leading directory to `admit`; other directories reply with the leader that they know. */
export const admissionReplySchema = z.discriminatedUnion("kind", [
    z.object({ kind: z.literal("admission"), admission: admissionSchema }),
    z.object({ kind: z.literal("elsewhere"), leader: z.string().optional() }),
]);

/** The limit that a backend server's last answer named. */
export type LimitObservation = z.infer<typeof limitObservationSchema>;
/** Message of a gateway to the leading directory about limits of backend servers. */
export type ServerLimitMessage = z.infer<typeof serverLimitMessageSchema>;
/** Whether a request may be sent to a server that names a limit. */
export type Admission = z.infer<typeof admissionSchema>;
/** Reply of the leading directory to `admit`. */
export type AdmissionReply = z.infer<typeof admissionReplySchema>;
