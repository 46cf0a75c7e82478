import jsdoc from "eslint-plugin-jsdoc";
import tseslint from "typescript-eslint";

export default tseslint.config(
    { ignores: ["**/dist/**", "target/**", "**/node_modules/**", "*.cjs", "**/*.cjs"] },
    ...tseslint.configs.recommended,
    {
        files: ["**/*.ts"],
        plugins: { jsdoc },
        languageOptions: { parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname } },
        rules: {
            "curly": ["error", "all"],
            "eqeqeq": "error",
            "max-lines": ["error", { max: 400, skipBlankLines: false, skipComments: false }],
            "no-restricted-syntax": ["error", {
                selector: "Literal[raw='null']",
                message: "Use undefined instead of null.",
            }],
            "@typescript-eslint/no-floating-promises": "error",
            "@typescript-eslint/switch-exhaustiveness-check": [
                "error",
                { considerDefaultExhaustiveForUnions: true },
            ],
            "@typescript-eslint/naming-convention": [
                "error",
                { selector: "typeLike", format: ["PascalCase"] },
                { selector: "memberLike", modifiers: ["private"], format: ["camelCase"], leadingUnderscore: "forbid" },
            ],
        },
    },
    {
        files: ["packages/*/src/**/*.ts"],
        ignores: ["**/__tests__/**"],
        rules: {
            "jsdoc/require-jsdoc": ["error", {
                publicOnly: true,
                require: { ClassDeclaration: true, FunctionDeclaration: true },
                contexts: [
                    "TSTypeAliasDeclaration",
                    "TSInterfaceDeclaration",
                    "ExportNamedDeclaration > VariableDeclaration",
                ],
                enableFixer: false,
            }],
        },
    },
    {
        // Names of the users' platform are allowed only in platform/, so that no other code depends on its protocol.
        files: ["packages/**/*.ts", "playground/**/*.ts", "simulation/**/*.ts", "scripts/**/*.ts", "soak/**/*.ts"],
        rules: {
            "no-restricted-syntax": ["error", {
                selector: "Literal[raw='null']",
                message: "Use undefined instead of null.",
            }, {
                selector:
                    "Literal[value=/attempt-id|deadline-milliseconds|server-seal|expected-instance|not-executed|kv-handle|cache-source|token-counts|transfer_handle|path_prefix|timeout_ms|heartbeat_address/i]",
                message: "Names of the users' platform belong in platform/.",
            }],
        },
    },
    {
        files: ["**/__tests__/**/*.ts"],
        rules: { "@typescript-eslint/no-unused-expressions": "off" },
    },
);
