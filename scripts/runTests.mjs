/**
 * Runs the compiled tests with AVA, forwards its TAP output, and prints "N passed, N failed" as the last line.
 * The exit code is 0 only if at least one test passed and no test failed other than those listed in KNOWN-RED.txt,
 * which are printed.
 *
 * Arguments: paths of compiled test files below dist/tests; without arguments, all tests run.
 */
import { spawn } from "node:child_process";
import { readFileSync } from "node:fs";
import process from "node:process";
import { isKnownFailure, isSuccess, parseKnownFailures } from "./knownFailures.mjs";

const knownFailures = parseKnownFailures(readFileSync("KNOWN-RED.txt", "utf8"));
const ava = spawn(process.execPath, ["node_modules/ava/entrypoints/cli.mjs", "--tap", ...process.argv.slice(2)], {
    stdio: ["ignore", "pipe", "inherit"],
});
let passed = 0;
let failed = 0;
const seenKnownFailures = [];
/** Whether AVA has printed its summary; after a timeout it may end without one. */
let hasSummary = false;
let incompleteLine = "";

ava.stdout.setEncoding("utf8");
ava.stdout.on("data", chunk => {
    process.stdout.write(chunk);
    const lines = (incompleteLine + chunk).split("\n");
    incompleteLine = lines.pop() ?? "";
    for (const line of lines) {
        const title = /^not ok \d+ - (.*)$/.exec(line)?.[1];
        if (title !== undefined && isKnownFailure(title, knownFailures)) {
            seenKnownFailures.push(title);
            continue;
        }
        hasSummary ||= /^# fail \d+$/.test(line);
        passed += /^ok \d+/.test(line) ? 1 : 0;
        failed += /^not ok \d+/.test(line) ? 1 : 0;
    }
});
ava.on("close", code => {
    const succeeded = isSuccess({ code, hasSummary, passed, failed, knownFailures: seenKnownFailures.length });
    for (const title of seenKnownFailures) {
        console.log(`known failure, listed in KNOWN-RED.txt: ${title}`);
    }
    console.log(`${passed} passed, ${succeeded ? failed : Math.max(failed, 1)} failed`);
    process.exitCode = succeeded ? 0 : 1;
});
