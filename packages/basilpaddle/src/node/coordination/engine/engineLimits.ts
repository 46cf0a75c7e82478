/** Limits of calls to an engine, in milliseconds and bytes. undici's own timeouts are disabled, so only these apply. */
export type EngineLimits = {
    /** Timeout for connecting. When it expires, nothing has been sent. @default 1000 */
    readonly connect: number;
    /** Timeout of a prefill, from the call to the complete answer. @default 60000 */
    readonly prefill: number;
    /** Timeout of an import, which ends a stalled transfer. @default 10000 */
    readonly import: number;
    /** Maximum time between two chunks of a decode stream, and before the first. @default 20000 */
    readonly decodeIdle: number;
    /** Maximum idle time after which a connection may still be reused. @default 1000 */
    readonly keepAlive: number;
    /** Maximum size of a complete answer and of one line of a stream. @default 4194304 */
    readonly answerBytes: number;
    /** Bytes of a stream that are buffered for the caller before reading from the engine pauses. @default 262144 */
    readonly waitingBytes: number;
    /** Maximum size of the head of an answer. @default 16384 */
    readonly headBytes: number;
    /** Timeout of a head, from its first byte until it is complete. @default 3000 */
    readonly headTime: number;
    /** Maximum size of chunk lengths, chunk extensions and trailers without a byte of the body among them. @default 16384 */
    readonly framingBytes: number;
};

const defaultLimits: EngineLimits = {
    connect: 1_000,
    prefill: 60_000,
    import: 10_000,
    decodeIdle: 20_000,
    keepAlive: 1_000,
    answerBytes: 4_194_304,
    waitingBytes: 262_144,
    headBytes: 16_384,
    headTime: 3_000,
    framingBytes: 16_384,
};

/** Applies the defaults and freezes the result. */
export function resolveEngineLimits(limits: Partial<EngineLimits> = {}): EngineLimits {
    return Object.freeze({ ...defaultLimits, ...limits });
}
