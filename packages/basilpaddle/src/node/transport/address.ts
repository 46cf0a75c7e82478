/** Host and port that a process listens on. */
export type NetworkAddress = { readonly host: string; readonly port: number; };

/** Parses "HOST:PORT"; undefined if the text has another form. */
export function parseAddress(text: string): NetworkAddress | undefined {
    const [host, port, ...rest] = text.split(":");
    const number = Number(port);
    const isValid = host !== undefined && host !== "" && Number.isInteger(number) && number > 0 && rest.length === 0;
    return isValid ? { host, port: number } : undefined;
}
