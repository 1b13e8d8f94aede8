import yargs from "yargs";
import type { Argv } from "yargs";
import { failure } from "../resultCode/resultCode.js";
import { operatorSettingsSchema } from "../settings/operatorSettings.js";
import { readSettings } from "../settings/readSettings.js";
import { exitUsage } from "../util/exitCode.js";
import { Err, Ok } from "../util/result.js";
import { addApplyCommand } from "./applyCommand.js";
import { commandError } from "./commandError.js";
import { printErrors } from "./commandResult.js";
import type { CommandResult } from "./commandResult.js";
import { CommandRun } from "./commandRun.js";
import { addDiffCommand } from "./diffCommand.js";
import { addDrainCommand } from "./drainCommand.js";
import { addExplainCommand } from "./explainCommand.js";
import type { GlobalFlags } from "./globalFlags.js";
import { addKeyCommands } from "./keyCommands.js";
import { addMemberCommands } from "./memberCommands.js";
import { addStatusCommand } from "./statusCommand.js";
import type { Surroundings } from "./surroundings.js";
import { addUsageCommand } from "./usageCommand.js";
import { addValidateCommand } from "./validateCommand.js";

/** A command line that cannot be understood. */
class UsageError extends Error {}

/** The commands, in the order of the help. */
const commandAdders = [
    addValidateCommand,
    addDiffCommand,
    addApplyCommand,
    addKeyCommands,
    addStatusCommand,
    addExplainCommand,
    addDrainCommand,
    addUsageCommand,
    addMemberCommands,
];

/**
 * Runs the operators' command line.
 *
 * @param commandArguments Arguments after the program's name.
 * @returns The exit code.
 */
export async function runCommandLine(
    commandArguments: readonly string[],
    version: string,
    surroundings: Surroundings,
): Promise<number> {
    const run = new CommandRun(surroundings);
    const program = yargs([...commandArguments])
        .scriptName("gullhall")
        .usage("$0 <command> [options]")
        .option("json", { type: "boolean", default: false, global: true, describe: "Print JSON for programs" })
        .version(version);
    const complete = commandAdders.reduce((extended, add) => add(extended, run), addSettingsCheck(program, run));
    const showText = (...[, , text]: readonly [unknown, unknown, string]): void => {
        surroundings.writeOutput(text === "" ? "" : `${text}\n`);
    };
    try {
        await complete
            .epilogue("Exit codes: 0 done, 1 refused or failed, 2 wrong command line or settings.")
            .strict()
            .exitProcess(false)
            .fail((message: string | undefined, error: Error | undefined) => {
                throw message ? new UsageError(message) : error ?? new UsageError("it cannot be read");
            })
            .parseAsync([...commandArguments], {}, showText);
    }
    catch (error) {
        if (!(error instanceof UsageError)) {
            throw error;
        }
        const reported = failure("commandLineInvalid", { reason: error.message, program: "gullhall" });
        printErrors(surroundings, commandArguments.includes("--json"), [commandError(reported)]);
        return exitUsage;
    }
    return run.exitCode;
}

/** Adds `gullhall --check-settings --settings FILE`, which runs no command. */
function addSettingsCheck(program: Argv<GlobalFlags>, run: CommandRun): Argv<GlobalFlags> {
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
                    const complete = flags["check-settings"] && flags.settings !== undefined;
                    if (!complete && flags["help"] !== true) {
                        throw new Error("name a command, or --check-settings with --settings FILE");
                    }
                    return true;
                }),
        async flags => {
            await run.execute(flags, () => checkSettings(flags.settings ?? ""), exitUsage);
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
