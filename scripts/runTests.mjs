/**
 * Runs the compiled tests with AVA, forwards its TAP output, and prints "N passed, N failed" as the last line.
 * The exit code is 0 only if at least one test passed and no test failed other than those listed in KNOWN-RED.txt,
 * which are printed.
 *
 * Tests below dist/tests/crowd measure the memory of processes under load; they run after the others, one at a time.
 *
 * Arguments: paths of compiled test files below dist/tests; without arguments, all tests run.
 */
import { spawn } from "node:child_process";
import { once } from "node:events";
import { readFileSync } from "node:fs";
import process from "node:process";
import { createInterface } from "node:readline";
import { isKnownFailure, isSuccess, parseKnownFailures } from "./knownFailures.mjs";

const crowdTests = "dist/tests/crowd/**/*.test.js";
const knownFailures = parseKnownFailures(readFileSync("KNOWN-RED.txt", "utf8"));
const files = process.argv.slice(2);
const runs = files.length > 0
    ? [files]
    : [["dist/tests/**/*.test.js", `!${crowdTests}`], ["--concurrency", "1", crowdTests]];
const total = { passed: 0, failed: 0, succeeded: true };

for (const run of runs) {
    const { passed, failed, succeeded } = await runAva(run);
    total.passed += passed;
    total.failed += succeeded ? failed : Math.max(failed, 1);
    total.succeeded &&= succeeded;
}
console.log(`${total.passed} passed, ${total.failed} failed`);
process.exitCode = total.succeeded ? 0 : 1;

/** Runs AVA with arguments; prints the known failures. */
async function runAva(avaArguments) {
    const ava = spawn(process.execPath, ["node_modules/ava/entrypoints/cli.mjs", "--tap", ...avaArguments], {
        stdio: ["ignore", "pipe", "inherit"],
    });
    const closed = once(ava, "close");
    let passed = 0;
    let failed = 0;
    /** Whether AVA has printed its summary; after a timeout it may end without one. */
    let hasSummary = false;
    const seenKnownFailures = [];
    for await (const line of createInterface({ input: ava.stdout })) {
        console.log(line);
        const title = /^not ok \d+ - (.*)$/.exec(line)?.[1];
        if (title !== undefined && isKnownFailure(title, knownFailures)) {
            seenKnownFailures.push(title);
            continue;
        }
        hasSummary ||= /^# fail \d+$/.test(line);
        passed += /^ok \d+/.test(line) ? 1 : 0;
        failed += /^not ok \d+/.test(line) ? 1 : 0;
    }
    const [code] = await closed;
    for (const title of seenKnownFailures) {
        console.log(`known failure, listed in KNOWN-RED.txt: ${title}`);
    }
    const succeeded = isSuccess({ code, hasSummary, passed, failed, knownFailures: seenKnownFailures.length });
    return { passed, failed, succeeded };
}
