import { EventLog } from "../logEvent/eventLog.js";
import type { LogStyle } from "../logEvent/eventLog.js";
import { failure, formatFailure } from "../resultCode/resultCode.js";
import type { Failure } from "../resultCode/resultCode.js";
import { SystemClock } from "../util/clock.js";
import type { Clock } from "../util/clock.js";
import { exitFailure, exitUsage } from "../util/exitCode.js";
import type { Result } from "../util/result.js";

/** A server process that runs until it is stopped. */
export interface ServerProcess extends AsyncDisposable {
    /** Starts serving; resolves with the data that is printed to standard output. */
    start(): Promise<object>;
    /** Resolves with the reason if the process should stop without a signal. */
    readonly stopRequested?: Promise<string>;
}

/** Settings that every server program needs. */
export interface ProgramSettings {
    readonly name: string;
    readonly failureDomain: string;
    readonly logStyle: LogStyle;
}

/** Role, version and settings of a server program, and the factory of its process. */
export interface ServerProgram<Settings extends ProgramSettings> {
    readonly role: string;
    readonly version: string;
    readonly settings: Result<Settings, readonly Failure[]>;
    /** Whether to exit after validating the settings. */
    readonly checkOnly: boolean;
    readonly create: (settings: Settings, clock: Clock, eventLog: EventLog) => ServerProcess;
}

/**
 * Runs a server program until SIGTERM, SIGINT or its own stop request, then stops it gracefully.
 *
 * Exit codes: 0 after a stop, 1 if the process could not start, 2 if the settings are invalid.
 */
export async function runProgram<Settings extends ProgramSettings>(program: ServerProgram<Settings>): Promise<void> {
    if (program.settings.err) {
        program.settings.val.forEach(reported => {
            process.stderr.write(`${formatFailure(reported)}\n`);
        });
        process.exitCode = exitUsage;
        return;
    }
    const settings = program.settings.val;
    if (program.checkOnly) {
        process.stdout.write("The settings are valid.\n");
        return;
    }
    const eventLog = new EventLog(settings.name, settings.logStyle);
    const serverProcess = program.create(settings, new SystemClock(), eventLog);
    const stopSignal = waitForStopSignal();
    try {
        const startInfo = await serverProcess.start();
        process.stdout.write(`${JSON.stringify({ role: program.role, name: settings.name, ...startInfo })}\n`);
        const { failureDomain } = settings;
        const address = JSON.stringify(startInfo);
        eventLog.write("processStarted", { role: program.role, address, failureDomain, version: program.version });
    }
    catch (error) {
        const reason = error instanceof Error ? error.message : String(error);
        eventLog.write("taskFailed", { task: "start", reason });
        process.stderr.write(`${formatFailure(failure("startFailed", { reason }))}\n`);
        await serverProcess[Symbol.asyncDispose]();
        process.exitCode = exitFailure;
        return;
    }
    eventLog.write("processStopping", {
        reason: await Promise.race([stopSignal, serverProcess.stopRequested ?? stopSignal]),
    });
    await serverProcess[Symbol.asyncDispose]();
    eventLog.write("processStopped", {});
}

function waitForStopSignal(): Promise<string> {
    return new Promise(resolve => {
        for (const name of ["SIGTERM", "SIGINT"] as const) {
            process.once(name, () => {
                resolve(name);
            });
        }
    });
}
