import { z } from "zod";
import { identifierSchema } from "./identity.js";

/** A gateway through which others reach backend servers while their own links to all of them fail. */
export const relaySchema = z.object({
    gateway: identifierSchema,
    failureDomain: z.string(),
    /** "IP:PORT" at which it accepts tunnels. */
    address: z.string(),
});

/** Message of a gateway to every directory: registers it as a relay, and asks for others. */
export const relayRegistrationSchema = z.object({
    kind: z.literal("relay"),
    relay: relaySchema,
    /** Whether it reaches backend servers itself; only such gateways are listed to others. */
    reachesServers: z.boolean(),
});

/** Reply to a registration: relays for this gateway, those in its failure domain first. */
export const relayListSchema = z.object({ relays: z.array(relaySchema) });

/**
 * First frame on a connection to a relay: asks for a tunnel to a backend server's incarnation, or for a notice when the relay
 * begins to shut down, which is a reply `closing` on a connection that stays open until then.
 */
export const tunnelRequestSchema = z.union([
    z.object({ server: identifierSchema }),
    z.object({ kind: z.literal("notice") }),
]);

/** Reply of a relay; after `open`, the bytes of a tunnel are forwarded in both directions. */
export const tunnelReplySchema = z.discriminatedUnion("kind", [
    z.object({ kind: z.literal("open") }),
    z.object({
        kind: z.literal("failed"),
        /**
         * `refused`, `unreachable`: the backend server didn't accept a connection, though the relay reaches others. The other
         * reasons concern the relay alone: it is partitioned too, doesn't know the server, has no tunnel left, or shuts down.
         */
        reason: z.enum(["refused", "unreachable", "partitioned", "unknownServer", "full", "closing"]),
    }),
]);

/** A gateway that relays. */
export type Relay = z.infer<typeof relaySchema>;
/** Registration of a gateway as a relay. */
export type RelayRegistration = z.infer<typeof relayRegistrationSchema>;
/** Relays for one gateway. */
export type RelayList = z.infer<typeof relayListSchema>;
/** First frame on a connection to a relay. */
export type TunnelRequest = z.infer<typeof tunnelRequestSchema>;
/** Reply of a relay to the request for a tunnel or a notice. */
export type TunnelReply = z.infer<typeof tunnelReplySchema>;
