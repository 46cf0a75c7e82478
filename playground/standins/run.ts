/** A stand-in that runs as a process. */
export type Standin = { readonly url: string; leave(): Promise<void>; };

/** Starts a stand-in with the settings from the command line, prints its URL, and shuts it down on SIGTERM or SIGINT. */
export async function runStandin(create: (settings: unknown) => Promise<Standin>): Promise<void> {
    const standin = await create(JSON.parse(process.argv[2] ?? "{}"));
    const leave = () => {
        void standin.leave().then(() => process.exit(0));
    };
    process.once("SIGTERM", leave);
    process.once("SIGINT", leave);
    process.stdout.write(`${JSON.stringify({ ready: true, url: standin.url, pid: process.pid })}\n`);
}
