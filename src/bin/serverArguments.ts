import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { packageVersion } from "../util/packageVersion.js";
import { usageFaultHandler } from "./usageFault.js";

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
        .fail(usageFaultHandler(programName))
        .parseAsync();
    return { settings: parsed.settings, checkSettings: parsed.checkSettings, version };
}
