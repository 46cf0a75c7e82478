/** Seeds that once broke a promise, each with its cause; they are played again by the tests. */
export const regressions: readonly { readonly seed: number; readonly cause: string; }[] = [
    {
        seed: 10,
        cause: "engines that had moved on from a directory counted as silent everywhere, since nobody contradicted it",
    },
];
