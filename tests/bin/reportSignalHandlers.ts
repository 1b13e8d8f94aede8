/**
 * Preloaded into a program under test: prints a line to standard error once SIGTERM, SIGINT and SIGHUP have handlers,
 * which tells whether the modules of the program were loaded by then.
 */
import process from "node:process";

const signals = ["SIGTERM", "SIGINT", "SIGHUP"];
const originalOn = process.on.bind(process) as (name: string, listener: () => void) => NodeJS.Process;
let isReported = false;

Reflect.set(process, "on", (name: string, listener: () => void) => {
    originalOn(name, listener);
    if (!isReported && signals.every(signal => process.listenerCount(signal) > 0)) {
        isReported = true;
        const loadedModules = Reflect.get(process, "moduleLoadList") as readonly string[];
        const isHttpLoaded = loadedModules.includes("NativeModule http");
        process.stderr.write(`${JSON.stringify({ handlersInstalled: true, isHttpLoaded })}\n`);
    }
    return process;
});
