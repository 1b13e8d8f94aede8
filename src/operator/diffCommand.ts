import { Err, Ok } from "../util/result.js";
import { callControl } from "./callControl.js";
import { toCommandError } from "./commandError.js";
import { connectionOptions } from "./connectionFlags.js";
import type { CommandRegistrar } from "./globalFlags.js";
import { readTextFile } from "./readTextFile.js";
import { diffResponseSchema } from "./responseSchemas.js";
import type { DiffResponse } from "./responseSchemas.js";

type Change = DiffResponse["changes"][number];

/** Prefix of the line that names a change, by kind of change. */
const changeMarkers: Readonly<Record<Change["kind"], string>> = { added: "+", changed: "~", removed: "-" };

/** Registers `gullhall diff FILE`. */
export const registerDiffCommand: CommandRegistrar = (program, runner) =>
    program.command(
        "diff <file>",
        "Show the differences between a manifest and the one in force",
        builder =>
            builder
                .options(connectionOptions)
                .positional("file", { type: "string", demandOption: true, describe: "Manifest" }),
        flags =>
            runner.executeWithClient(flags, async client => {
                const body = await readTextFile(flags.file);
                if (body.err) {
                    return Err([toCommandError(body.val)]);
                }
                const headers = { "x-file-name": encodeURI(flags.file) };
                const call = { method: "POST", path: "/v1/manifest/difference", body: body.val, headers };
                const diff = await callControl(client, call, diffResponseSchema);
                return diff.err ? Err(diff.val) : Ok({ value: diff.val, lines: diffLines(diff.val) });
            }),
    );

function diffLines({ version, repeated, changes }: DiffResponse): readonly string[] {
    if (changes.length === 0) {
        const reason = repeated ? "this manifest was accepted before" : "the manifest equals the one in force";
        return [`No changes compared with version ${version}: ${reason}.`];
    }
    return [`Changes compared with version ${version}:`, ...changes.flatMap(changeLines)];
}

function changeLines({ part, name, kind, values }: Change): readonly string[] {
    const heading = `${changeMarkers[kind]} ${name === undefined ? part : `${part} ${name}`}`;
    return [heading, ...values.map(({ path, before, after }) => `    ${path}: ${before ?? "-"} -> ${after ?? "-"}`)];
}
