/** Main module of `gullhall-entry`. */
import { EntryProcess } from "../process/entry/entryProcess.js";
import { entrySettingsSchema } from "../settings/entrySettings.js";
import { readSettings } from "../settings/readSettings.js";
import { runProgram } from "./runProgram.js";
import { parseServerArguments } from "./serverArguments.js";

const commandLine = await parseServerArguments(
    "gullhall-entry",
    "Accepts requests from callers and forwards them to endpoints.",
);
await runProgram({
    role: "entry",
    version: commandLine.version,
    settings: readSettings(commandLine.settings, entrySettingsSchema),
    checkOnly: commandLine.checkSettings,
    create: (settings, clock, eventLog) => new EntryProcess(settings, clock, eventLog),
});
