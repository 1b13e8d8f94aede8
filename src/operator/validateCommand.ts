import { Err, Ok } from "../util/result.js";
import { readManifest } from "../version/readManifest.js";
import { commandError } from "./commandError.js";
import type { CommandResult } from "./commandResult.js";
import type { CommandAdder } from "./globalFlags.js";
import { readDocument } from "./readDocument.js";

/** Adds `gullhall validate FILE`. */
export const addValidateCommand: CommandAdder = (program, run) =>
    program.command(
        "validate <file>",
        "Check a manifest without submitting it",
        builder => builder.positional("file", { type: "string", demandOption: true, describe: "Manifest" }),
        flags => run.execute(flags, () => validate(flags.file)),
    );

async function validate(file: string): Promise<CommandResult> {
    const text = await readDocument(file);
    if (text.err) {
        return Err([commandError(text.val)]);
    }
    const manifest = readManifest(file, text.val);
    if (manifest.err) {
        return Err(manifest.val.map(commandError));
    }
    const { number, teams, classes, routes, pools } = manifest.val;
    const counts = { teams: teams.length, classes: classes.length, routes: routes.length, pools: pools.length };
    const listed = Object.entries(counts).map(([part, count]) => `${count} ${part}`).join(", ");
    return Ok({ value: { valid: true, number, ...counts }, lines: [`Valid: number ${number}, ${listed}.`] });
}
