import { Err } from "../util/result.js";
import { changeConfiguration, waitOption } from "./acceptedChange.js";
import { commandError } from "./commandError.js";
import { connectionOptions } from "./connectionFlags.js";
import type { CommandAdder } from "./globalFlags.js";
import { readDocument } from "./readDocument.js";

/** Adds `gullhall apply FILE [--wait]`. */
export const addApplyCommand: CommandAdder = (program, run) =>
    program.command(
        "apply <file>",
        "Submit a manifest; a repeat of the same one gives the first answer again",
        builder =>
            builder
                .options(connectionOptions)
                .options(waitOption)
                .positional("file", { type: "string", demandOption: true, describe: "Manifest" }),
        flags =>
            run.executeConnected(flags, async client => {
                const body = await readDocument(flags.file);
                if (body.err) {
                    return Err([commandError(body.val)]);
                }
                const headers = { "x-file-name": encodeURI(flags.file) };
                const call = { method: "PUT", path: "/v1/manifest", body: body.val, headers };
                return changeConfiguration(client, call, "Manifest", flags.wait);
            }),
    );
