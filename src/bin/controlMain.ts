/** Main module of `gullhall-control`. */
import { ControlProcess } from "../process/control/controlProcess.js";
import { controlSettingsSchema } from "../settings/controlSettings.js";
import { readSettings } from "../settings/readSettings.js";
import { runProgram } from "./runProgram.js";
import { parseServerArguments } from "./serverArguments.js";

const commandLine = await parseServerArguments(
    "gullhall-control",
    "Maintains the replicated state and calls the platform.",
);
await runProgram({
    role: "control",
    version: commandLine.version,
    settings: readSettings(commandLine.settings, controlSettingsSchema),
    checkOnly: commandLine.checkSettings,
    create: (settings, clock, eventLog) => new ControlProcess(settings, clock, eventLog),
});
