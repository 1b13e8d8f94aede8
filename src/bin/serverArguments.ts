import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { packageVersion } from "../util/packageVersion.js";
import { usageErrorHandler } from "./usageError.js";

/** Parsed command line of a server program. */
export interface ServerArguments {
    /** Path of the settings file. */
    readonly settings: string;
    readonly checkSettings: boolean;
    readonly version: string;
}

/** Parses the command line of a server program; prints help, the version or an error and exits where applicable. */
export async function parseServerArguments(programName: string, description: string): Promise<ServerArguments> {
    const version = packageVersion();
    const parsed = await yargs(hideBin(process.argv))
        .scriptName(programName)
        .usage(`$0 --settings FILE\n\n${description}`)
        .option("settings", { type: "string", demandOption: true, describe: "Settings file, JSON with comments" })
        .option("check-settings", { type: "boolean", default: false, describe: "Validate the settings and exit" })
        .version(version)
        .strict()
        .fail(usageErrorHandler(programName))
        .parseAsync();
    return { settings: parsed.settings, checkSettings: parsed.checkSettings, version };
}
