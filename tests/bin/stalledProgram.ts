/**
 * A server program that waits for ever: argument `own` or `hosted`, then `settings` or `start`, which says for what.
 */
import "../../src/bin/processSignals.js";
import process from "node:process";
import { runHosted } from "../../src/bin/runHosted.js";
import { runProgram } from "../../src/bin/runProgram.js";
import { Ok } from "../../src/util/result.js";

const [kind, waitsFor] = process.argv.slice(2);
const never = new Promise<never>(() => undefined);
// A pending promise does not keep the process alive.
setInterval(() => undefined, 60_000);

if (kind === "hosted") {
    await runHosted({
        role: "stalled",
        create: () => ({
            start: () => never,
            applySettings: () => undefined,
            [Symbol.asyncDispose]: () => Promise.resolve(),
        }),
    });
}
else {
    const settings = { name: "vm-1", failureDomain: "north", logStyle: "json" } as const;
    await runProgram({
        role: "stalled",
        version: "1.0.0",
        settings: waitsFor === "settings" ? never : Promise.resolve(Ok(settings)),
        checkOnly: false,
        create: () => ({ start: () => never, [Symbol.asyncDispose]: () => Promise.resolve() }),
    });
}
