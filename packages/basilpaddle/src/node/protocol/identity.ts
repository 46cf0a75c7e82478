import { isIPv4 } from "node:net";
import { z } from "zod";

const maxIdentifierLength = 200;
const maxPort = 65_535;
/** First octets of addresses that a host may have: 0 stands for none, and those from 224 on for groups. */
const minHostOctet = 1;
const maxHostOctet = 223;

/** Identifier of a server, daemon, service, organisation or attempt in messages between daemons: 1 to 200 characters. */
export const identifierSchema = z.string().min(1).max(maxIdentifierLength);

/** "IP:PORT" of one host, with an IPv4 address. */
export const hostAddressSchema = z.string().refine(isHostAddress, "not the address of a host, IP:PORT");

function isHostAddress(text: string): boolean {
    const [host = "", port = "", ...rest] = text.split(":");
    const firstOctet = Number(host.split(".", 1)[0]);
    return rest.length === 0 && isIPv4(host) && firstOctet >= minHostOctet && firstOctet <= maxHostOctet
        && /^[1-9]\d{0,4}$/.test(port) && Number(port) <= maxPort;
}
