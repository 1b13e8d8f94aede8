/**
 * Bundles the programs of a hosted installation into a few files below target/, which reduces their startup time.
 *
 * The file of a program holds only its signal handlers, and loads its other modules from further files.
 */
import { build } from "esbuild";

await build({
    entryPoints: {
        gullhallHostedEntry: "src/bin/gullhallHostedEntry.ts",
        gullhallHostedControl: "src/bin/gullhallHostedControl.ts",
    },
    // The programs read package.json from three folders up, so this folder must be as deep as dist/src/bin.
    outdir: "target/bundle/hosted",
    outExtension: { ".js": ".mjs" },
    bundle: true,
    splitting: true,
    platform: "node",
    target: "node20",
    format: "esm",
    // Bundled CommonJS modules load built-in Node.js modules with `require`, which ES modules do not define.
    banner: {
        js: "import { createRequire as requireFrom } from \"node:module\"; const require = requireFrom(import.meta.url);",
    },
    alias: { "ts-results": "./scripts/tsResultsModule.mjs" },
    logLevel: "warning",
});
