#!/usr/bin/env node
/** `gullhall`: the operators' command line. */
import { readFile } from "node:fs/promises";
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { OperatorClient } from "../operator/operatorClient.js";
import type { OperatorCall } from "../operator/operatorClient.js";
import { describeFailure } from "../resultCode/resultCode.js";
import { SystemClock } from "../util/clock.js";
import { createKey } from "../util/createKey.js";
import { keyDigest } from "../util/keyDigest.js";
import { packageVersion } from "../util/packageVersion.js";
import { readManifest } from "../version/readManifest.js";
import { exitFailure, exitUsage } from "./runProgram.js";

interface ConnectionFlags {
    readonly control: readonly string[];
    readonly token: string;
}

async function call(flags: ConnectionFlags, operatorCall: OperatorCall): Promise<unknown> {
    const client = new OperatorClient(flags.control, flags.token, new SystemClock());
    const answer = await client.call(operatorCall);
    if (answer.err) {
        process.stderr.write(`${describeFailure(answer.val)}\n`);
        process.exitCode = exitFailure;
        return undefined;
    }
    const text = answer.val.body.toString("utf8");
    if (answer.val.status === 200) {
        process.stdout.write(`${text}\n`);
        return JSON.parse(text);
    }
    const { error } = JSON.parse(text) as {
        readonly error: { readonly message: string; readonly faults?: string[]; };
    };
    process.stderr.write(`${[error.message, ...(error.faults ?? [])].join("\n")}\n`);
    process.exitCode = exitFailure;
    return undefined;
}

async function apply(flags: ConnectionFlags, file: string, wait: boolean): Promise<void> {
    const body = await readFile(file, "utf8");
    const headers = { "x-file-name": file };
    const accepted = await call(flags, { method: "PUT", path: "/v1/manifest", body, headers });
    if (accepted !== undefined && wait) {
        await waitInForce(flags, accepted as { readonly version: number; });
    }
}

async function waitInForce(flags: ConnectionFlags, accepted: { readonly version: number; }): Promise<void> {
    await call(flags, { method: "GET", path: `/v1/in-force?version=${accepted.version}` });
}

async function withdraw(flags: ConnectionFlags, digest: string, wait: boolean): Promise<void> {
    const body = JSON.stringify({ digest });
    const accepted = await call(flags, { method: "POST", path: "/v1/keys/withdraw", body });
    if (accepted !== undefined && wait) {
        await waitInForce(flags, accepted as { readonly version: number; });
    }
}

async function validate(file: string): Promise<void> {
    const manifest = readManifest(file, await readFile(file, "utf8"));
    if (manifest.ok) {
        process.stdout.write("The manifest is valid.\n");
        return;
    }
    process.stderr.write(`${manifest.val.map(describeFailure).join("\n")}\n`);
    process.exitCode = exitFailure;
}

const connectionOptions = {
    control: { type: "array", string: true, default: [] as string[], describe: "Operator addresses of control" },
    token: { type: "string", default: "", describe: "Operator's token (better: GULLHALL_TOKEN)" },
} as const;

await yargs(hideBin(process.argv))
    .scriptName("gullhall")
    .env("GULLHALL")
    .version(packageVersion())
    .command(
        "validate <file>",
        "Check a manifest",
        builder => builder.positional("file", { type: "string", demandOption: true }),
        flags => validate(flags.file),
    )
    .command(
        "apply <file>",
        "Submit a manifest",
        builder =>
            builder
                .options(connectionOptions)
                .positional("file", { type: "string", demandOption: true })
                .option("wait", { type: "boolean", default: false, describe: "Return when it is in force everywhere" }),
        flags => apply(flags, flags.file, flags.wait),
    )
    .command("key", "Keys of teams", builder =>
        builder
            .command("new", "Make a key and show its digest", {}, () => {
                const key = createKey();
                process.stdout.write(`${JSON.stringify({ key, digest: keyDigest(key) })}\n`);
            })
            .command("withdraw <digest>", "Withdraw a key for ever", inner =>
                inner
                    .options(connectionOptions)
                    .positional("digest", { type: "string", demandOption: true })
                    .option("wait", {
                        type: "boolean",
                        default: false,
                        describe: "Return when it is refused everywhere",
                    }), flags => withdraw(flags, flags.digest, flags.wait))
            .demandCommand(1))
    .command("status", "State of the cluster", builder => builder.options(connectionOptions), async flags => {
        await call(flags, { method: "GET", path: "/v1/status" });
    })
    .demandCommand(1)
    .strict()
    .fail((message, error, usage) => {
        process.stderr.write(`${message || String(error)}\n\n${usage.help() as unknown as string}\n`);
        process.exit(exitUsage);
    })
    .parseAsync();
