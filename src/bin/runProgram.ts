import { EventLog } from "../logEvent/eventLog.js";
import type { LogStyle } from "../logEvent/eventLog.js";
import { describeFailure, failure } from "../resultCode/resultCode.js";
import type { Failure } from "../resultCode/resultCode.js";
import { SystemClock } from "../util/clock.js";
import type { Clock } from "../util/clock.js";
import { exitFailure, exitUsage } from "../util/exitCode.js";
import type { Result } from "../util/result.js";

/** A process that serves until it is stopped. */
export interface ServingProcess extends AsyncDisposable {
    /** Starts to serve; resolves with what is shown on standard output. */
    start(): Promise<object>;
    /** Resolves with the reason when the process should stop without a signal. */
    readonly stopRequested?: Promise<string>;
}

/** What a program's settings must contain to run it. */
export interface ProgramSettings {
    readonly name: string;
    readonly failureDomain: string;
    readonly logStyle: LogStyle;
}

/** How a serving program is made from its settings. */
export interface ServingProgram<Settings extends ProgramSettings> {
    readonly role: string;
    readonly version: string;
    readonly settings: Result<Settings, readonly Failure[]>;
    /** Whether to end after the settings were checked. */
    readonly checkOnly: boolean;
    readonly create: (settings: Settings, clock: Clock, eventLog: EventLog) => ServingProcess;
}

/** Runs a serving program until SIGTERM or SIGINT, then stops it gracefully. */
export async function runProgram<Settings extends ProgramSettings>(program: ServingProgram<Settings>): Promise<void> {
    if (program.settings.err) {
        program.settings.val.forEach(reported => {
            process.stderr.write(`${describeFailure(reported)}\n`);
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
    const serving = program.create(settings, new SystemClock(), eventLog);
    const stopping = stopSignal();
    try {
        const shown = await serving.start();
        process.stdout.write(`${JSON.stringify({ role: program.role, name: settings.name, ...shown })}\n`);
        const { failureDomain } = settings;
        const address = JSON.stringify(shown);
        eventLog.write("processStarted", { role: program.role, address, failureDomain, version: program.version });
    }
    catch (error) {
        const reason = error instanceof Error ? error.message : String(error);
        eventLog.write("taskFailed", { task: "start", reason });
        process.stderr.write(`${describeFailure(failure("startFailed", { reason }))}\n`);
        await serving[Symbol.asyncDispose]();
        process.exitCode = exitFailure;
        return;
    }
    eventLog.write("processStopping", { reason: await Promise.race([stopping, serving.stopRequested ?? stopping]) });
    await serving[Symbol.asyncDispose]();
    eventLog.write("processStopped", {});
}

function stopSignal(): Promise<string> {
    return new Promise(resolve => {
        for (const name of ["SIGTERM", "SIGINT"] as const) {
            process.once(name, () => {
                resolve(name);
            });
        }
    });
}
