/** Where a process listens. */
export type NetworkAddress = { readonly host: string; readonly port: number; };

/** Reads "IP:PORT"; undefined for anything else. */
export function parseAddress(text: string): NetworkAddress | undefined {
    const [host, port, ...rest] = text.split(":");
    const number = Number(port);
    const valid = host !== undefined && host !== "" && Number.isInteger(number) && number > 0 && rest.length === 0;
    return valid ? { host, port: number } : undefined;
}
