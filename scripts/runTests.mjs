/**
 * Runs the compiled tests with AVA, repeats its TAP output, and ends with the line "N passed, N failed".
 * Test files may be named as arguments (compiled paths below dist/tests).
 */
import { spawn } from "node:child_process";
import process from "node:process";

const tests = spawn(process.execPath, ["node_modules/ava/entrypoints/cli.mjs", "--tap", ...process.argv.slice(2)], {
    stdio: ["ignore", "pipe", "inherit"],
});
let passed = 0;
let failed = 0;
let rest = "";

tests.stdout.setEncoding("utf8");
tests.stdout.on("data", chunk => {
    process.stdout.write(chunk);
    const lines = (rest + chunk).split("\n");
    rest = lines.pop() ?? "";
    for (const line of lines) {
        passed += /^ok \d+/.test(line) ? 1 : 0;
        failed += /^not ok \d+/.test(line) ? 1 : 0;
    }
});
tests.on("close", code => {
    const green = code === 0 && failed === 0 && passed > 0;
    console.log(`${passed} passed, ${green ? failed : Math.max(failed, 1)} failed`);
    process.exitCode = green ? 0 : 1;
});
