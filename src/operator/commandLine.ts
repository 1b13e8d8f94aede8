import yargs from "yargs";
import type { Argv } from "yargs";
import { failure } from "../resultCode/resultCode.js";
import { operatorSettingsSchema } from "../settings/operatorSettings.js";
import { readSettings } from "../settings/readSettings.js";
import { exitUsage } from "../util/exitCode.js";
import { Err, Ok } from "../util/result.js";
import { addApplyCommand } from "./applyCommand.js";
import { commandError } from "./commandError.js";
import { printErrors, runCommand } from "./commandResult.js";
import type { CommandResult } from "./commandResult.js";
import { addDiffCommand } from "./diffCommand.js";
import { addExplainCommand } from "./explainCommand.js";
import type { GlobalFlags } from "./globalFlags.js";
import { addKeyCommands } from "./keyCommands.js";
import { addStatusCommand } from "./statusCommand.js";
import { addValidateCommand } from "./validateCommand.js";

/** The commands, in the order of the help. */
const commandAdders = [
    addValidateCommand,
    addDiffCommand,
    addApplyCommand,
    addKeyCommands,
    addStatusCommand,
    addExplainCommand,
];

/**
 * Runs the operators' command line; sets the exit code of the process.
 *
 * @param commandArguments Arguments after the program's name.
 */
export async function runCommandLine(commandArguments: readonly string[], version: string): Promise<void> {
    const program = yargs([...commandArguments])
        .scriptName("gullhall")
        .usage("$0 <command> [options]")
        .option("json", { type: "boolean", default: false, global: true, describe: "Print JSON for programs" })
        .version(version);
    const complete = commandAdders.reduce((extended, add) => add(extended), addSettingsCheck(program));
    await complete
        .epilogue("Exit codes: 0 done, 1 refused or failed, 2 wrong command line or settings.")
        .strict()
        .fail((message: string | undefined, error: Error | undefined) => {
            const reason = message ?? error?.message ?? "unknown";
            const json = commandArguments.includes("--json");
            printErrors(json, [commandError(failure("commandLineInvalid", { reason, program: "gullhall" }))]);
            process.exit(exitUsage);
        })
        .parseAsync();
}

/** Adds `gullhall --check-settings --settings FILE`, which runs no command. */
function addSettingsCheck(program: Argv<GlobalFlags>): Argv<GlobalFlags> {
    return program.command(
        "$0",
        false,
        builder =>
            builder
                .option("check-settings", {
                    type: "boolean",
                    default: false,
                    describe: "Check a settings file and end",
                })
                .option("settings", { type: "string", describe: "Settings file, JSON with comments" })
                .check(flags => {
                    if (!flags["check-settings"] || flags.settings === undefined) {
                        throw new Error("name a command, or --check-settings with --settings FILE");
                    }
                    return true;
                }),
        async flags => {
            await runCommand(flags.json, () => checkSettings(flags.settings ?? ""), exitUsage);
        },
    );
}

async function checkSettings(file: string): Promise<CommandResult> {
    const settings = await readSettings(file, operatorSettingsSchema);
    if (settings.err) {
        return Err(settings.val.map(commandError));
    }
    return Ok({ value: { valid: true }, lines: ["The settings are valid."] });
}
