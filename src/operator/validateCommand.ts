import { Err, Ok } from "../util/result.js";
import { parseManifest } from "../version/parseManifest.js";
import { toCommandError } from "./commandError.js";
import type { CommandResult } from "./commandResult.js";
import type { CommandRegistrar } from "./globalFlags.js";
import { readTextFile } from "./readTextFile.js";

/** Registers `gullhall validate FILE`. */
export const registerValidateCommand: CommandRegistrar = (program, runner) =>
    program.command(
        "validate <file>",
        "Check a manifest without submitting it",
        builder => builder.positional("file", { type: "string", demandOption: true, describe: "Manifest" }),
        flags => runner.execute(flags, () => validate(flags.file)),
    );

async function validate(file: string): Promise<CommandResult> {
    const text = await readTextFile(file);
    if (text.err) {
        return Err([toCommandError(text.val)]);
    }
    const manifest = parseManifest(file, text.val);
    if (manifest.err) {
        return Err(manifest.val.map(toCommandError));
    }
    const { number, teams, classes, routes, pools } = manifest.val;
    const counts = { teams: teams.length, classes: classes.length, routes: routes.length, pools: pools.length };
    const countText = Object.entries(counts).map(([part, count]) => `${count} ${part}`).join(", ");
    return Ok({ value: { valid: true, number, ...counts }, lines: [`Valid: number ${number}, ${countText}.`] });
}
