/**
 * Runs the compiled tests with AVA, forwards its TAP output, and prints "N passed, N failed" as the last line.
 * The exit code is 0 only if at least one test passed, none failed, and AVA exited with 0.
 *
 * Arguments: paths of compiled test files below dist/tests; without arguments, all tests run.
 */
import { spawn } from "node:child_process";
import process from "node:process";

const ava = spawn(process.execPath, ["node_modules/ava/entrypoints/cli.mjs", "--tap", ...process.argv.slice(2)], {
    stdio: ["ignore", "pipe", "inherit"],
});
let passed = 0;
let failed = 0;
let incompleteLine = "";

ava.stdout.setEncoding("utf8");
ava.stdout.on("data", chunk => {
    process.stdout.write(chunk);
    const lines = (incompleteLine + chunk).split("\n");
    incompleteLine = lines.pop() ?? "";
    for (const line of lines) {
        passed += /^ok \d+/.test(line) ? 1 : 0;
        failed += /^not ok \d+/.test(line) ? 1 : 0;
    }
});
ava.on("close", code => {
    const succeeded = code === 0 && failed === 0 && passed > 0;
    console.log(`${passed} passed, ${succeeded ? failed : Math.max(failed, 1)} failed`);
    process.exitCode = succeeded ? 0 : 1;
});
