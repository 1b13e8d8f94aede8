/** Bundles the programs of a hosted installation into one file each below target/, so that they start fast. */
import { build } from "esbuild";

await build({
    entryPoints: {
        gullhallHostedEntry: "src/bin/gullhallHostedEntry.ts",
        gullhallHostedControl: "src/bin/gullhallHostedControl.ts",
    },
    // The programs look for package.json three folders up, as they do in dist/src/bin.
    outdir: "target/bundle/hosted",
    outExtension: { ".js": ".mjs" },
    bundle: true,
    platform: "node",
    target: "node20",
    format: "esm",
    // Bundled CommonJS modules call `require` for modules of Node.js.
    banner: {
        js: "import { createRequire as requireFrom } from \"node:module\"; const require = requireFrom(import.meta.url);",
    },
    alias: { "ts-results": "./scripts/tsResultsModule.mjs" },
    logLevel: "warning",
});
