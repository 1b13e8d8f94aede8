import { EventLog } from "../logEvent/eventLog.js";
import type { LogStyle } from "../logEvent/eventLog.js";
import { failure, formatFailure } from "../resultCode/resultCode.js";
import type { Failure } from "../resultCode/resultCode.js";
import { SystemClock } from "../util/clock.js";
import type { Clock } from "../util/clock.js";
import { exitFailure, exitSuccess, exitUsage } from "../util/exitCode.js";
import type { Result } from "../util/result.js";
import { processSignals } from "./processSignals.js";

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
    readonly settings: Promise<Result<Settings, readonly Failure[]>>;
    /** Whether to exit after validating the settings. */
    readonly checkOnly: boolean;
    readonly create: (settings: Settings, clock: Clock, eventLog: EventLog) => ServerProcess;
}

/**
 * Runs a server program until SIGTERM, SIGINT or its own stop request, then stops it gracefully and exits.
 *
 * Signals during the shutdown, and SIGHUP, have no effect. Exit codes: 0 after a stop, 1 if the process could not start,
 * 2 if the settings are invalid.
 */
export async function runProgram<Settings extends ProgramSettings>(program: ServerProgram<Settings>): Promise<void> {
    // A stop signal may arrive while the settings are read.
    const loaded = await Promise.race([program.settings, processSignals.stopRequested.then(() => undefined)]);
    if (loaded?.err === true) {
        loaded.val.forEach(reported => {
            process.stderr.write(`${formatFailure(reported)}\n`);
        });
        process.exitCode = exitUsage;
        return;
    }
    if (program.checkOnly && loaded !== undefined) {
        process.stdout.write("The settings are valid.\n");
        return;
    }
    const { name = `gullhall-${program.role}`, logStyle = "json" } = loaded?.val ?? {};
    const eventLog = new EventLog(name, logStyle);
    processSignals.subscribe({
        reload: () => undefined,
        ignored: (signal, elapsed) => {
            eventLog.write("signalIgnored", { signal, elapsed: Math.round(elapsed) });
        },
    });
    process.exitCode = await runUntilStopped(program, loaded?.val, eventLog);
    process.exit();
}

/**
 * Runs the process until a stop is requested, then disposes of it; returns the exit code.
 *
 * @param settings Undefined if the stop was requested before the settings were read.
 */
async function runUntilStopped<Settings extends ProgramSettings>(
    program: ServerProgram<Settings>,
    settings: Settings | undefined,
    eventLog: EventLog,
): Promise<number> {
    const clock = new SystemClock();
    let serverProcess: ServerProcess | undefined;
    if (settings !== undefined && !processSignals.isStopRequested) {
        serverProcess = program.create(settings, clock, eventLog);
        void serverProcess.stopRequested?.then(reason => {
            processSignals.requestStop(reason, clock.now());
        });
        try {
            // A stop signal may arrive while the process still starts, which may take for ever.
            await Promise.race([
                announceStart(program, settings, serverProcess, eventLog),
                processSignals.stopRequested,
            ]);
        }
        catch (error) {
            const reason = error instanceof Error ? error.message : String(error);
            eventLog.write("taskFailed", { task: "start", reason });
            process.stderr.write(`${formatFailure(failure("startFailed", { reason }))}\n`);
            await serverProcess[Symbol.asyncDispose]();
            return exitFailure;
        }
    }
    eventLog.write("processStopping", { reason: await processSignals.stopRequested });
    await serverProcess?.[Symbol.asyncDispose]();
    eventLog.write("processStopped", {});
    return exitSuccess;
}

/** Starts the process, then prints and logs where it listens. */
async function announceStart<Settings extends ProgramSettings>(
    { role, version }: ServerProgram<Settings>,
    { name, failureDomain }: Settings,
    serverProcess: ServerProcess,
    eventLog: EventLog,
): Promise<void> {
    const startInfo = await serverProcess.start();
    if (processSignals.isStopRequested) {
        return;
    }
    process.stdout.write(`${JSON.stringify({ role, name, ...startInfo })}\n`);
    eventLog.write("processStarted", { role, address: JSON.stringify(startInfo), failureDomain, version });
}
