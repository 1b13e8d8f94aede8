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
 * The path of the settings file is read from an environment variable; SIGHUP reloads the settings. Exit codes: 0 after
 * a signal, 1 if the process failed to start or stop, 2 if the settings are invalid.
 */
export async function runHosted(program: HostedProgram, clock: Clock = new SystemClock()): Promise<void> {
    const stopSignal = new Promise<string>(resolve => {
        process.once("SIGTERM", resolve);
        process.once("SIGINT", resolve);
    });
    const reloadHandlers: (() => void)[] = [];
    process.on("SIGHUP", () => {
        reloadHandlers.forEach(reload => {
            reload();
        });
    });
    const settingsFile = new SettingsFile(process.env[settingsVariable] ?? "");
    const loadError = await settingsFile.loadAtStart(clock);
    if (loadError !== undefined) {
        const unreadable = failure("settingsUnreadable", { file: `$${settingsVariable}`, reason: loadError });
        process.stderr.write(`${formatFailure(unreadable)}\n`);
        process.exitCode = exitUsage;
        return;
    }
    const { name, host, failureDomain } = settingsFile.current;
    const writer = new LineWriter(standardOutputDescriptor, lines => {
        const { number, level, text } = logEvents.logLinesDropped;
        return JSON.stringify({
            time: new Date(),
            level,
            process: name,
            event: number,
            id: "logLinesDropped",
            text,
            lines,
        });
    });
    const eventLog = new EventLog(name, "json", line => {
        writer.write(line);
    });
    const serverProcess = program.create(() => settingsFile.current, clock, eventLog);
    const applySettings = (): void => {
        serverProcess.applySettings();
    };
    reloadHandlers.push(() => {
        void settingsFile.reload("SIGHUP", eventLog, applySettings);
    });
    const watchController = new AbortController();
    void settingsFile.watch(clock, eventLog, applySettings, watchController.signal);
    eventLog.write("processStarted", { role: program.role, address: host, failureDomain, version: packageVersion() });
    try {
        const started = serverProcess.start();
        // A stop signal may arrive while the process still waits for its disk or its address.
        await Promise.race([started, stopSignal]);
        eventLog.write("processStopping", { reason: await stopSignal });
        await serverProcess[Symbol.asyncDispose]();
        await started;
        eventLog.write("processStopped", {});
        process.exitCode = 0;
    }
    catch (error) {
        const reason = error instanceof Error ? error.stack ?? error.message : String(error);
        eventLog.write("taskFailed", { task: "start", reason });
        process.exitCode = exitFailure;
    }
    watchController.abort();
    writer.end();
    process.exit();
}
