/** Host and port that a process listens on. */
export type NetworkAddress = { readonly host: string; readonly port: number; };

const maxPort = 65_535;

/** Parses "HOST:PORT"; undefined if the text has another form, or no such port exists. */
export function parseAddress(text: string): NetworkAddress | undefined {
    const [host, port, ...rest] = text.split(":");
    const number = Number(port);
    const isPort = Number.isInteger(number) && number > 0 && number <= maxPort;
    const isValid = host !== undefined && host !== "" && isPort && rest.length === 0;
    return isValid ? { host, port: number } : undefined;
}
