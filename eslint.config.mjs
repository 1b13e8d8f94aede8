import eslint from "@eslint/js";
import stylistic from "@stylistic/eslint-plugin";
import tseslint from "typescript-eslint";

export default tseslint.config(
    { ignores: ["dist/**", "target/**", "node_modules/**"] },
    eslint.configs.recommended,
    {
        files: ["src/**/*.ts", "platform/**/*.ts", "tests/**/*.ts"],
        extends: [...tseslint.configs.strictTypeChecked, ...tseslint.configs.stylisticTypeChecked],
        languageOptions: { parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname } },
        plugins: { "@stylistic": stylistic },
        rules: {
            "@stylistic/brace-style": ["error", "stroustrup"],
            "@stylistic/quotes": ["error", "double", { avoidEscape: true, allowTemplateLiterals: "always" }],
            curly: ["error", "all"],
            eqeqeq: "error",
            "@typescript-eslint/consistent-type-imports": "error",
            "@typescript-eslint/consistent-type-definitions": ["error", "interface"],
            "@typescript-eslint/explicit-function-return-type": ["error", { allowExpressions: true }],
            "@typescript-eslint/naming-convention": [
                "error",
                { selector: "typeLike", format: ["PascalCase"], custom: { regex: "^I[A-Z]", match: false } },
                {
                    selector: ["variable", "function", "parameter", "classProperty", "classMethod"],
                    format: ["camelCase"],
                    leadingUnderscore: "forbid",
                },
            ],
            "@typescript-eslint/no-unnecessary-type-parameters": "off",
            "@typescript-eslint/prefer-readonly": "error",
            "@typescript-eslint/restrict-template-expressions": ["error", { allowNumber: true, allowBoolean: true }],
            "@typescript-eslint/no-extraneous-class": "off",
            "@typescript-eslint/switch-exhaustiveness-check": "error",
            "no-restricted-syntax": ["error", { selector: "Literal[raw='null']", message: "Use undefined." }],
        },
    },
    { files: ["**/*.mjs"], languageOptions: { globals: { console: "readonly", process: "readonly" } } },
);
