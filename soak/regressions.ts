/** Seeds that once broke a promise, each with its cause; they are played again by the tests. */
export const regressions: readonly { readonly seed: number; readonly cause: string; }[] = [];
