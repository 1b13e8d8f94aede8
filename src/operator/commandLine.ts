import yargs from "yargs";
import type { Argv } from "yargs";
import { failure } from "../resultCode/resultCode.js";
import { operatorSettingsSchema } from "../settings/operatorSettings.js";
import { readSettings } from "../settings/readSettings.js";
import { exitUsage } from "../util/exitCode.js";
import { Err, Ok } from "../util/result.js";
import { registerApplyCommand } from "./applyCommand.js";
import type { CommandContext } from "./commandContext.js";
import { toCommandError } from "./commandError.js";
import { printErrors } from "./commandResult.js";
import type { CommandResult } from "./commandResult.js";
import { CommandRunner } from "./commandRunner.js";
import { registerDiffCommand } from "./diffCommand.js";
import { registerDrainCommand } from "./drainCommand.js";
import { registerExplainCommand } from "./explainCommand.js";
import type { GlobalFlags } from "./globalFlags.js";
import { registerKeyCommands } from "./keyCommands.js";
import { registerMemberCommands } from "./memberCommands.js";
import { registerStatusCommand } from "./statusCommand.js";
import { registerUsageCommand } from "./usageCommand.js";
import { registerValidateCommand } from "./validateCommand.js";

/** Thrown when the command line cannot be parsed. */
class UsageError extends Error {}

/** The commands, in the order in which the help lists them. */
const commandRegistrars = [
    registerValidateCommand,
    registerDiffCommand,
    registerApplyCommand,
    registerKeyCommands,
    registerStatusCommand,
    registerExplainCommand,
    registerDrainCommand,
    registerUsageCommand,
    registerMemberCommands,
];

/**
 * Parses the arguments of `gullhall`, runs the command and prints its output or its errors.
 *
 * @param commandArguments Arguments after the program name.
 * @param version Version that `--version` prints.
 * @returns The exit code of the process.
 */
export async function runCommandLine(
    commandArguments: readonly string[],
    version: string,
    context: CommandContext,
): Promise<number> {
    const runner = new CommandRunner(context);
    const program = yargs([...commandArguments])
        .scriptName("gullhall")
        .usage("$0 <command> [options]")
        .option("json", { type: "boolean", default: false, global: true, describe: "Print JSON instead of text" })
        .version(version);
    const parser = commandRegistrars.reduce(
        (partialParser, register) => register(partialParser, runner),
        registerSettingsCheck(program, runner),
    );
    const writeParserOutput = (...[, , text]: readonly [unknown, unknown, string]): void => {
        context.writeOutput(text === "" ? "" : `${text}\n`);
    };
    try {
        await parser
            .epilogue("Exit codes: 0 done, 1 refused or failed, 2 wrong command line or settings.")
            .strict()
            .exitProcess(false)
            .fail((message: string | undefined, error: Error | undefined) => {
                throw message ? new UsageError(message) : error ?? new UsageError("it cannot be read");
            })
            .parseAsync([...commandArguments], {}, writeParserOutput);
    }
    catch (error) {
        if (!(error instanceof UsageError)) {
            throw error;
        }
        const usageFailure = failure("commandLineInvalid", { reason: error.message, program: "gullhall" });
        printErrors(context, commandArguments.includes("--json"), [toCommandError(usageFailure)]);
        return exitUsage;
    }
    return runner.exitCode;
}

/** Registers `gullhall --check-settings --settings FILE`, which runs without a command. */
function registerSettingsCheck(program: Argv<GlobalFlags>, runner: CommandRunner): Argv<GlobalFlags> {
    return program.command(
        "$0",
        false,
        builder =>
            builder
                .option("check-settings", {
                    type: "boolean",
                    default: false,
                    describe: "Validate a settings file and exit",
                })
                .option("settings", { type: "string", describe: "Settings file, JSON with comments" })
                .check(flags => {
                    const isSettingsCheck = flags["check-settings"] && flags.settings !== undefined;
                    if (!isSettingsCheck && flags["help"] !== true) {
                        throw new Error("specify a command, or --check-settings with --settings FILE");
                    }
                    return true;
                }),
        async flags => {
            await runner.execute(flags, () => checkSettings(flags.settings ?? ""), exitUsage);
        },
    );
}

async function checkSettings(file: string): Promise<CommandResult> {
    const settings = await readSettings(file, operatorSettingsSchema);
    if (settings.err) {
        return Err(settings.val.map(toCommandError));
    }
    return Ok({ value: { valid: true }, lines: ["The settings are valid."] });
}
