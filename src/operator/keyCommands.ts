import type { Argv } from "yargs";
import { createKey } from "../util/createKey.js";
import { keyDigest } from "../util/keyDigest.js";
import { Ok } from "../util/result.js";
import { changeConfiguration, waitOption } from "./acceptedChange.js";
import type { CommandResult } from "./commandResult.js";
import type { CommandRun } from "./commandRun.js";
import { connectionOptions } from "./connectionFlags.js";
import type { CommandAdder, GlobalFlags } from "./globalFlags.js";
import type { OperatorClient } from "./operatorClient.js";

/** Adds `gullhall key new` and `gullhall key withdraw`. */
export const addKeyCommands: CommandAdder = (program, run) =>
    program.command(
        "key",
        "Make and withdraw keys of teams",
        builder => addWithdraw(addNew(builder, run), run).demandCommand(1, "name a command: new or withdraw"),
    );

function addNew(program: Argv<GlobalFlags>, run: CommandRun): Argv<GlobalFlags> {
    return program.command(
        "new",
        "Make a key; its text is shown once and stored nowhere",
        builder =>
            builder
                .options(connectionOptions)
                .options(waitOption)
                .option("issue", { type: "boolean", default: false, describe: "Issue it beside the manifest" })
                .option("team", { type: "string", describe: "Team that it is issued to" })
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
                await run.executeConnected(flags, client => issueKey(client, team, name, flags.wait));
                return;
            }
            await run.execute(flags, makeKey);
        },
    );
}

function makeKey(): CommandResult {
    const key = createKey();
    const digest = keyDigest(key);
    return Ok({ value: { key, digest }, lines: [`key     ${key}`, `digest  ${digest}`] });
}

async function issueKey(client: OperatorClient, team: string, name: string, wait: boolean): Promise<CommandResult> {
    const key = createKey();
    const digest = keyDigest(key);
    const body = JSON.stringify({ team, name, digest });
    const call = { method: "POST", path: "/v1/keys/issue", body };
    const issued = await changeConfiguration(client, call, `Key ${name} of team ${team}`, wait);
    if (issued.err) {
        return issued;
    }
    const { value, lines } = issued.val;
    return Ok({
        value: { key, digest, ...(value as object) },
        lines: [`key     ${key}`, `digest  ${digest}`, ...lines],
    });
}

function addWithdraw(program: Argv<GlobalFlags>, run: CommandRun): Argv<GlobalFlags> {
    return program.command(
        "withdraw [digest]",
        "Withdraw a key for ever, by its digest or by team and name",
        builder =>
            builder
                .options(connectionOptions)
                .options(waitOption)
                .positional("digest", { type: "string", describe: "SHA-256 of the key's text" })
                .option("team", { type: "string", describe: "Team of the key" })
                .option("name", { type: "string", describe: "Name of the key within the team" })
                .check(({ digest, team, name }) => {
                    const named = team !== undefined && name !== undefined;
                    const half = (team === undefined) !== (name === undefined);
                    if (half || named === (digest !== undefined)) {
                        throw new Error("name the key by its digest, or by --team and --name");
                    }
                    return true;
                }),
        flags => {
            const { digest, team, name } = flags;
            const body = JSON.stringify(digest === undefined ? { team, name } : { digest });
            const call = { method: "POST", path: "/v1/keys/withdraw", body };
            return run.executeConnected(flags, client => changeConfiguration(client, call, "Withdrawal", flags.wait));
        },
    );
}
