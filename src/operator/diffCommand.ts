import { Err, Ok } from "../util/result.js";
import { comparisonSchema } from "./answerSchemas.js";
import type { Comparison } from "./answerSchemas.js";
import { askControl } from "./askControl.js";
import { commandError } from "./commandError.js";
import { connectionOptions } from "./connectionFlags.js";
import type { CommandAdder } from "./globalFlags.js";
import { readDocument } from "./readDocument.js";

type Change = Comparison["changes"][number];

/** Marks of the kinds of change. */
const marks: Readonly<Record<Change["kind"], string>> = { added: "+", changed: "~", removed: "-" };

/** Adds `gullhall diff FILE`. */
export const addDiffCommand: CommandAdder = (program, run) =>
    program.command(
        "diff <file>",
        "Show what a manifest would change against the one in force",
        builder =>
            builder
                .options(connectionOptions)
                .positional("file", { type: "string", demandOption: true, describe: "Manifest" }),
        flags =>
            run.executeConnected(flags, async client => {
                const body = await readDocument(flags.file);
                if (body.err) {
                    return Err([commandError(body.val)]);
                }
                const headers = { "x-file-name": encodeURI(flags.file) };
                const call = { method: "POST", path: "/v1/manifest/difference", body: body.val, headers };
                const compared = await askControl(client, call, comparisonSchema);
                return compared.err ? Err(compared.val) : Ok({ value: compared.val, lines: linesOf(compared.val) });
            }),
    );

function linesOf({ version, repeated, changes }: Comparison): readonly string[] {
    if (changes.length === 0) {
        const reason = repeated ? "this manifest was accepted before" : "it equals the one in force";
        return [`No change against version ${version}: ${reason}.`];
    }
    return [`Against version ${version}:`, ...changes.flatMap(changeLines)];
}

function changeLines({ part, name, kind, values }: Change): readonly string[] {
    const title = `${marks[kind]} ${name === undefined ? part : `${part} ${name}`}`;
    return [title, ...values.map(({ path, before, after }) => `    ${path}: ${before ?? "-"} -> ${after ?? "-"}`)];
}
