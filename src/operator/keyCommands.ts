import type { Argv } from "yargs";
import { generateKey } from "../util/generateKey.js";
import { keyDigest } from "../util/keyDigest.js";
import { Ok } from "../util/result.js";
import type { CommandResult } from "./commandResult.js";
import type { CommandRunner } from "./commandRunner.js";
import { connectionOptions } from "./connectionFlags.js";
import type { CommandRegistrar, GlobalFlags } from "./globalFlags.js";
import type { OperatorClient } from "./operatorClient.js";
import { submitChange, waitOption } from "./submitChange.js";

/** Registers `gullhall key new` and `gullhall key withdraw`. */
export const registerKeyCommands: CommandRegistrar = (program, runner) =>
    program.command(
        "key",
        "Create and withdraw keys of teams",
        builder =>
            registerWithdrawCommand(registerNewCommand(builder, runner), runner).demandCommand(
                1,
                "specify a command: new or withdraw",
            ),
    );

function registerNewCommand(program: Argv<GlobalFlags>, runner: CommandRunner): Argv<GlobalFlags> {
    return program.command(
        "new",
        "Create a key; it is printed once and not stored",
        builder =>
            builder
                .options(connectionOptions)
                .options(waitOption)
                .option("issue", { type: "boolean", default: false, describe: "Issue the key without a new manifest" })
                .option("team", { type: "string", describe: "Team that the key is issued to" })
                .option("name", { type: "string", describe: "Name of the key within the team" })
                .check(flags => {
                    if (flags.issue && (flags.team === undefined || flags.name === undefined)) {
                        throw new Error("--issue needs --team and --name");
                    }
                    return true;
                }),
        async flags => {
            const { issue, team, name } = flags;
            if (issue && team !== undefined && name !== undefined) {
                await runner.executeWithClient(flags, client => issueKey(client, team, name, flags.wait));
                return;
            }
            await runner.execute(flags, createUnissuedKey);
        },
    );
}

function createUnissuedKey(): CommandResult {
    const key = generateKey();
    const digest = keyDigest(key);
    return Ok({ value: { key, digest }, lines: [`key     ${key}`, `digest  ${digest}`] });
}

async function issueKey(client: OperatorClient, team: string, name: string, wait: boolean): Promise<CommandResult> {
    const key = generateKey();
    const digest = keyDigest(key);
    const body = JSON.stringify({ team, name, digest });
    const call = { method: "POST", path: "/v1/keys/issue", body };
    const issued = await submitChange(client, call, `Key ${name} of team ${team}`, wait);
    if (issued.err) {
        return issued;
    }
    const { value, lines } = issued.val;
    return Ok({
        value: { key, digest, ...(value as object) },
        lines: [`key     ${key}`, `digest  ${digest}`, ...lines],
    });
}

function registerWithdrawCommand(program: Argv<GlobalFlags>, runner: CommandRunner): Argv<GlobalFlags> {
    return program.command(
        "withdraw [digest]",
        "Withdraw a key permanently, by its digest or by team and name",
        builder =>
            builder
                .options(connectionOptions)
                .options(waitOption)
                .positional("digest", { type: "string", describe: "SHA-256 digest of the key" })
                .option("team", { type: "string", describe: "Team of the key" })
                .option("name", { type: "string", describe: "Name of the key within the team" })
                .check(({ digest, team, name }) => {
                    const isNamed = team !== undefined && name !== undefined;
                    const isIncomplete = (team === undefined) !== (name === undefined);
                    if (isIncomplete || isNamed === (digest !== undefined)) {
                        throw new Error("specify the key by its digest, or by --team and --name");
                    }
                    return true;
                }),
        flags => {
            const { digest, team, name } = flags;
            const body = JSON.stringify(digest === undefined ? { team, name } : { digest });
            const call = { method: "POST", path: "/v1/keys/withdraw", body };
            return runner.executeWithClient(flags, client => submitChange(client, call, "Withdrawal", flags.wait));
        },
    );
}
