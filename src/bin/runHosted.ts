import { settingsVariable } from "../../platform/bootSettings.js";
import { EventLog } from "../logEvent/eventLog.js";
import { LineWriter } from "../logEvent/lineWriter.js";
import { logEvents } from "../logEvent/logEvent.js";
import type { HostedProcess } from "../process/hosted/hostedProcess.js";
import type { HostedSettings } from "../process/hosted/hostedSettings.js";
import { SettingsFile } from "../process/hosted/settingsFile.js";
import { failure, formatFailure } from "../resultCode/resultCode.js";
import { SystemClock } from "../util/clock.js";
import type { Clock } from "../util/clock.js";
import { exitFailure, exitUsage } from "../util/exitCode.js";
import { packageVersion } from "../util/packageVersion.js";
import { processSignals } from "./processSignals.js";

/** File descriptor of standard output. */
const standardOutputDescriptor = 1;

/** Role of a hosted program, and the factory of its process. */
export interface HostedProgram {
    readonly role: string;
    readonly create: (settings: () => HostedSettings, clock: Clock, eventLog: EventLog) => HostedProcess;
}

/**
 * Runs a program of a hosted installation until SIGTERM or SIGINT, then stops it gracefully and exits.
 *
 * The path of the settings file is read from an environment variable; SIGHUP reloads the settings. Signals during the
 * shutdown have no effect. Exit codes: 0 after a signal, 1 if the process failed to start or stop, 2 if the settings
 * are invalid.
 */
export async function runHosted(program: HostedProgram, clock: Clock = new SystemClock()): Promise<void> {
    const settingsFile = new SettingsFile(process.env[settingsVariable] ?? "");
    const loading = settingsFile.loadAtStart(clock).then(invalidReason => ({ invalidReason }));
    // A stop signal may arrive while the process still waits for valid settings.
    const loaded = await Promise.race([loading, processSignals.stopRequested.then(() => undefined)]);
    if (loaded?.invalidReason !== undefined) {
        const reason = loaded.invalidReason;
        const unreadable = failure("settingsUnreadable", { file: `$${settingsVariable}`, reason });
        process.stderr.write(`${formatFailure(unreadable)}\n`);
        process.exitCode = exitUsage;
        return;
    }
    const processName = loaded === undefined ? `gullhall-hosted-${program.role}` : settingsFile.current.name;
    const writer = createLogWriter(processName);
    const eventLog = new EventLog(processName, "json", line => {
        writer.write(line);
    });
    try {
        await runUntilStopped(program, settingsFile, clock, eventLog);
        process.exitCode = 0;
    }
    catch (error) {
        const reason = error instanceof Error ? error.stack ?? error.message : String(error);
        eventLog.write("taskFailed", { task: "start", reason });
        process.exitCode = exitFailure;
    }
    writer.end();
    process.exit();
}

function createLogWriter(processName: string): LineWriter {
    return new LineWriter(standardOutputDescriptor, lines => {
        const { number, level, text } = logEvents.logLinesDropped;
        return JSON.stringify({
            time: new Date(),
            level,
            process: processName,
            event: number,
            id: "logLinesDropped",
            text,
            lines,
        });
    });
}

/** Runs the process until a stop signal, then disposes of it; rejects if it fails to start or to stop. */
async function runUntilStopped(
    program: HostedProgram,
    settingsFile: SettingsFile,
    clock: Clock,
    eventLog: EventLog,
): Promise<void> {
    const running = processSignals.isStopRequested ? undefined : startHosted(program, settingsFile, clock, eventLog);
    processSignals.subscribe({
        reload: () => {
            running?.reload();
        },
        ignored: (signal, elapsed) => {
            eventLog.write("signalIgnored", { signal, elapsed: Math.round(elapsed) });
        },
    });
    // A stop signal may arrive while the process still waits for its disk or its address, perhaps for ever.
    await Promise.race([running?.started, processSignals.stopRequested]);
    const reason = await processSignals.stopRequested;
    running?.watchController.abort();
    eventLog.write("processStopping", { reason });
    await running?.serverProcess[Symbol.asyncDispose]();
    eventLog.write("processStopped", {});
}

/** A process that was started. */
interface StartedProcess {
    readonly serverProcess: HostedProcess;
    /** Settles when the process has started or failed to start. */
    readonly started: Promise<void>;
    /** Reloads the settings. */
    readonly reload: () => void;
    /** Ends the polling of the settings file. */
    readonly watchController: AbortController;
}

function startHosted(
    program: HostedProgram,
    settingsFile: SettingsFile,
    clock: Clock,
    eventLog: EventLog,
): StartedProcess {
    const { host, failureDomain } = settingsFile.current;
    const serverProcess = program.create(() => settingsFile.current, clock, eventLog);
    const applySettings = (): void => {
        serverProcess.applySettings();
    };
    const watchController = new AbortController();
    void settingsFile.watch(clock, eventLog, applySettings, watchController.signal);
    eventLog.write("processStarted", { role: program.role, address: host, failureDomain, version: packageVersion() });
    return {
        serverProcess,
        started: serverProcess.start(),
        reload: () => {
            void settingsFile.reload("SIGHUP", eventLog, applySettings);
        },
        watchController,
    };
}
