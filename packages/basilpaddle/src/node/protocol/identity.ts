import { z } from "zod";

const maxIdentifierLength = 200;

/** Identifier of a server, daemon, service, organisation or attempt in messages between daemons: 1 to 200 characters. */
export const identifierSchema = z.string().min(1).max(maxIdentifierLength);
