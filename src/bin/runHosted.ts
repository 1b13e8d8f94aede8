import { settingsVariable } from "../../platform/bootSettings.js";
import { EventLog } from "../logEvent/eventLog.js";
import { LineWriter } from "../logEvent/lineWriter.js";
import { logEvents } from "../logEvent/logEvent.js";
import type { HostedProcess } from "../process/hosted/hostedProcess.js";
import type { HostedSettings } from "../process/hosted/hostedSettings.js";
import { SettingsFile } from "../process/hosted/settingsFile.js";
import { describeFailure, failure } from "../resultCode/resultCode.js";
import { SystemClock } from "../util/clock.js";
import type { Clock } from "../util/clock.js";
import { exitFailure, exitUsage } from "../util/exitCode.js";
import { packageVersion } from "../util/packageVersion.js";

/** Descriptor of standard output. */
const standardOutput = 1;

/** How a hosted program is made from its settings. */
export interface HostedProgram {
    readonly role: string;
    readonly create: (settings: () => HostedSettings, clock: Clock, eventLog: EventLog) => HostedProcess;
}

/** Runs a program of a hosted installation until SIGTERM, then stops it gracefully. */
export async function runHosted(program: HostedProgram, clock: Clock = new SystemClock()): Promise<void> {
    const stopped = new Promise<string>(resolve => {
        process.once("SIGTERM", resolve);
        process.once("SIGINT", resolve);
    });
    const hangUps: (() => void)[] = [];
    process.on("SIGHUP", () => {
        hangUps.forEach(reload => {
            reload();
        });
    });
    const file = new SettingsFile(process.env[settingsVariable] ?? "");
    const fault = await file.load();
    if (fault !== undefined) {
        const unreadable = failure("settingsUnreadable", { file: `$${settingsVariable}`, reason: fault });
        process.stderr.write(`${describeFailure(unreadable)}\n`);
        process.exitCode = exitUsage;
        return;
    }
    const { name, host, failureDomain } = file.current;
    const writer = new LineWriter(standardOutput, lines => {
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
    const serving = program.create(() => file.current, clock, eventLog);
    const apply = (): void => {
        serving.applySettings();
    };
    hangUps.push(() => {
        void file.reload("SIGHUP", eventLog, apply);
    });
    const watching = new AbortController();
    void file.watch(clock, eventLog, apply, watching.signal);
    eventLog.write("processStarted", { role: program.role, address: host, failureDomain, version: packageVersion() });
    try {
        const started = serving.start();
        // A process may be told to stop while it still waits for its disk or its address.
        await Promise.race([started, stopped]);
        eventLog.write("processStopping", { reason: await stopped });
        await serving[Symbol.asyncDispose]();
        await started;
        eventLog.write("processStopped", {});
        process.exitCode = 0;
    }
    catch (error) {
        const reason = error instanceof Error ? error.stack ?? error.message : String(error);
        eventLog.write("taskFailed", { task: "start", reason });
        process.exitCode = exitFailure;
    }
    watching.abort();
    writer.end();
    process.exit();
}
