/** An encoded HTTP call to an engine. */
export type EngineCall = {
    readonly method: "POST" | "DELETE" | "GET";
    readonly path: string;
    readonly headers: Readonly<Record<string, string>>;
    readonly body?: string;
};
