import type { Argv } from "yargs";
import { Err, Ok } from "../util/result.js";
import { controlStatusSchema, memberChangeSchema } from "./answerSchemas.js";
import { askControl } from "./askControl.js";
import type { CommandResult } from "./commandResult.js";
import type { CommandRun } from "./commandRun.js";
import { connectionOptions } from "./connectionFlags.js";
import type { CommandAdder, GlobalFlags } from "./globalFlags.js";
import type { OperatorClient } from "./operatorClient.js";
import { memberLines } from "./statusLines.js";

/** Adds `gullhall members list`, `add`, `promote` and `remove`. */
export const addMemberCommands: CommandAdder = (program, run) =>
    program.command(
        "members",
        "Show and change the control processes that keep the log",
        builder =>
            addRemove(addPromote(addAdd(addList(builder, run), run), run), run).demandCommand(
                1,
                "name a command: list, add, promote or remove",
            ),
    );

function addList(program: Argv<GlobalFlags>, run: CommandRun): Argv<GlobalFlags> {
    return program.command(
        "list",
        "Show the members",
        builder => builder.options(connectionOptions),
        flags =>
            run.executeConnected(flags, async client => {
                const status = await askControl(client, { method: "GET", path: "/v1/status" }, controlStatusSchema);
                if (status.err) {
                    return Err(status.val);
                }
                const { members } = status.val;
                return Ok({ value: { members }, lines: memberLines(members) });
            }),
    );
}

function addAdd(program: Argv<GlobalFlags>, run: CommandRun): Argv<GlobalFlags> {
    return program.command(
        "add <member>",
        "Admit a member as a learner, which receives the log but does not vote",
        builder =>
            builder
                .options(connectionOptions)
                .positional("member", { type: "string", demandOption: true, describe: "Identity of the member" })
                .option("peer-address", { type: "string", demandOption: true, describe: "Where peers connect" })
                .option("operator-address", {
                    type: "string",
                    demandOption: true,
                    describe: "Where operators connect",
                }),
        flags => {
            const { member: memberId, peerAddress: address, operatorAddress } = flags;
            const body = { memberId, address, operatorAddress };
            return run.executeConnected(flags, client => change(client, "add", body, "admitted as a learner"));
        },
    );
}

function addPromote(program: Argv<GlobalFlags>, run: CommandRun): Argv<GlobalFlags> {
    return program.command(
        "promote <member>",
        "Make a learner that has caught up a voter",
        builder =>
            builder
                .options(connectionOptions)
                .positional("member", { type: "string", demandOption: true, describe: "Identity of the member" }),
        flags =>
            run.executeConnected(
                flags,
                client => change(client, "promote", { memberId: flags.member }, "promoted to a voter"),
            ),
    );
}

function addRemove(program: Argv<GlobalFlags>, run: CommandRun): Argv<GlobalFlags> {
    return program.command(
        "remove <member>",
        "Remove a member that is lost or no longer wanted",
        builder =>
            builder
                .options(connectionOptions)
                .positional("member", { type: "string", demandOption: true, describe: "Identity of the member" }),
        flags => run.executeConnected(flags, client => change(client, "remove", { memberId: flags.member }, "removed")),
    );
}

async function change(
    client: OperatorClient,
    action: "add" | "promote" | "remove",
    body: { readonly memberId: string; },
    what: string,
): Promise<CommandResult> {
    const call = { method: "POST", path: `/v1/members/${action}`, body: JSON.stringify(body) };
    const changed = await askControl(client, call, memberChangeSchema);
    if (changed.err) {
        return Err(changed.val);
    }
    const { position, repeated } = changed.val;
    const done = repeated ? "had been" : "is";
    return Ok({ value: changed.val, lines: [`Member ${body.memberId} ${done} ${what}, position ${position}.`] });
}
