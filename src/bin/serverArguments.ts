import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { commandError } from "../operator/commandError.js";
import { failure } from "../resultCode/resultCode.js";
import { exitUsage } from "../util/exitCode.js";
import { packageVersion } from "../util/packageVersion.js";

/** The command line of a serving program. */
export interface ServerArguments {
    /** Path of the settings file. */
    readonly settings: string;
    readonly checkSettings: boolean;
    readonly version: string;
}

/** Reads the command line of a serving program; shows help or a fault and ends the process where asked to. */
export async function serverArguments(programName: string, description: string): Promise<ServerArguments> {
    const version = packageVersion();
    const parsed = await yargs(hideBin(process.argv))
        .scriptName(programName)
        .usage(`$0 --settings FILE\n\n${description}`)
        .option("settings", { type: "string", demandOption: true, describe: "Settings file, JSON with comments" })
        .option("check-settings", { type: "boolean", default: false, describe: "Check the settings and end" })
        .version(version)
        .strict()
        .fail((message: string | undefined, error: Error | undefined) => {
            const reason = message ?? error?.message ?? "unknown";
            const reported = failure("commandLineInvalid", { reason, program: programName });
            process.stderr.write(`${commandError(reported).message}\n`);
            process.exit(exitUsage);
        })
        .parseAsync();
    return { settings: parsed.settings, checkSettings: parsed.checkSettings, version };
}
