import { Err } from "../util/result.js";
import { toCommandError } from "./commandError.js";
import { connectionOptions } from "./connectionFlags.js";
import type { CommandRegistrar } from "./globalFlags.js";
import { readTextFile } from "./readTextFile.js";
import { submitChange, waitOption } from "./submitChange.js";

/** Registers `gullhall apply FILE [--wait]`. */
export const registerApplyCommand: CommandRegistrar = (program, runner) =>
    program.command(
        "apply <file>",
        "Submit a manifest; submitting the same manifest again returns the first result",
        builder =>
            builder
                .options(connectionOptions)
                .options(waitOption)
                .positional("file", { type: "string", demandOption: true, describe: "Manifest" }),
        flags =>
            runner.executeWithClient(flags, async client => {
                const body = await readTextFile(flags.file);
                if (body.err) {
                    return Err([toCommandError(body.val)]);
                }
                const headers = { "x-file-name": encodeURI(flags.file) };
                const call = { method: "PUT", path: "/v1/manifest", body: body.val, headers };
                return submitChange(client, call, "Manifest", flags.wait);
            }),
    );
