// The layers, lowest first. A layer imports only from itself and from those before it.
const layers = ["utils", "transport", "protocol", "state", "coordination", "daemon", "cli"];
const root = "^packages/basilpaddle/src/node/";

module.exports = {
    forbidden: [
        { name: "no-cycles", severity: "error", from: {}, to: { circular: true } },
        ...layers.map((layer, position) => ({
            name: `layer-${layer}`,
            severity: "error",
            from: { path: `${root}${layer}/`, pathNot: "__tests__" },
            to: { path: layers.slice(position + 1).map(upper => `${root}${upper}/`).join("|") || "^$" },
        })),
        {
            name: "no-tests-in-code",
            severity: "error",
            from: { path: root, pathNot: "__tests__" },
            to: { path: "__tests__" },
        },
        {
            name: "no-platform-in-product",
            severity: "error",
            from: { path: "^(packages|playground|simulation|scripts)/" },
            to: { path: "^platform/" },
        },
        {
            name: "no-simulation-in-code",
            severity: "error",
            from: { path: root, pathNot: "__tests__" },
            to: { path: "^simulation/" },
        },
    ],
    options: {
        doNotFollow: { path: "node_modules" },
        exclude: { path: "dist/" },
        tsPreCompilationDeps: true,
        tsConfig: { fileName: "tsconfig.json" },
        enhancedResolveOptions: { extensions: [".ts", ".js"], conditionNames: ["import", "node", "default"] },
    },
};
