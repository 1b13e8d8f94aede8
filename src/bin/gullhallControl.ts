#!/usr/bin/env node
/** `gullhall-control`: keeps the state that must survive and acts towards the platform. */
import { ControlProcess } from "../process/control/controlProcess.js";
import { controlSettingsSchema } from "../settings/controlSettings.js";
import { readSettings } from "../settings/readSettings.js";
import { runProgram } from "./runProgram.js";
import { serverArguments } from "./serverArguments.js";

const commandLine = await serverArguments(
    "gullhall-control",
    "Keeps the replicated state and acts towards the platform.",
);
await runProgram({
    role: "control",
    version: commandLine.version,
    settings: await readSettings(commandLine.settings, controlSettingsSchema),
    checkOnly: commandLine.checkSettings,
    create: (settings, clock, eventLog) => new ControlProcess(settings, clock, eventLog),
});
