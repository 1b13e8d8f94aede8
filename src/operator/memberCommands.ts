import type { Argv } from "yargs";
import { Err, Ok } from "../util/result.js";
import { callControl } from "./callControl.js";
import type { CommandResult } from "./commandResult.js";
import type { CommandRunner } from "./commandRunner.js";
import { connectionOptions } from "./connectionFlags.js";
import type { CommandRegistrar, GlobalFlags } from "./globalFlags.js";
import type { OperatorClient } from "./operatorClient.js";
import { memberChangeResponseSchema, statusResponseSchema } from "./responseSchemas.js";
import { memberLines } from "./statusLines.js";

/** Registers `gullhall members list`, `add`, `promote` and `remove`. */
export const registerMemberCommands: CommandRegistrar = (program, runner) =>
    program.command(
        "members",
        "List and change the members of the replicated log",
        builder =>
            registerRemoveCommand(
                registerPromoteCommand(registerAddCommand(registerListCommand(builder, runner), runner), runner),
                runner,
            ).demandCommand(
                1,
                "specify a command: list, add, promote or remove",
            ),
    );

function registerListCommand(program: Argv<GlobalFlags>, runner: CommandRunner): Argv<GlobalFlags> {
    return program.command(
        "list",
        "List the members",
        builder => builder.options(connectionOptions),
        flags =>
            runner.executeWithClient(flags, async client => {
                const status = await callControl(client, { method: "GET", path: "/v1/status" }, statusResponseSchema);
                if (status.err) {
                    return Err(status.val);
                }
                const { members } = status.val;
                return Ok({ value: { members }, lines: memberLines(members) });
            }),
    );
}

function registerAddCommand(program: Argv<GlobalFlags>, runner: CommandRunner): Argv<GlobalFlags> {
    return program.command(
        "add <member>",
        "Add a member as a learner, which receives the log but does not vote",
        builder =>
            builder
                .options(connectionOptions)
                .positional("member", { type: "string", demandOption: true, describe: "ID of the member" })
                .option("peer-address", {
                    type: "string",
                    demandOption: true,
                    describe: "Address for connections from other members",
                })
                .option("operator-address", {
                    type: "string",
                    demandOption: true,
                    describe: "Address for operator calls",
                }),
        flags => {
            const { member: memberId, peerAddress: address, operatorAddress } = flags;
            const body = { memberId, address, operatorAddress };
            return runner.executeWithClient(flags, client => changeMember(client, "add", body, "added as a learner"));
        },
    );
}

function registerPromoteCommand(program: Argv<GlobalFlags>, runner: CommandRunner): Argv<GlobalFlags> {
    return program.command(
        "promote <member>",
        "Promote a learner that has caught up to a voter",
        builder =>
            builder
                .options(connectionOptions)
                .positional("member", { type: "string", demandOption: true, describe: "ID of the member" }),
        flags =>
            runner.executeWithClient(
                flags,
                client => changeMember(client, "promote", { memberId: flags.member }, "promoted to a voter"),
            ),
    );
}

function registerRemoveCommand(program: Argv<GlobalFlags>, runner: CommandRunner): Argv<GlobalFlags> {
    return program.command(
        "remove <member>",
        "Remove a member that is lost or no longer needed",
        builder =>
            builder
                .options(connectionOptions)
                .positional("member", { type: "string", demandOption: true, describe: "ID of the member" }),
        flags =>
            runner.executeWithClient(
                flags,
                client => changeMember(client, "remove", { memberId: flags.member }, "removed"),
            ),
    );
}

async function changeMember(
    client: OperatorClient,
    action: "add" | "promote" | "remove",
    body: { readonly memberId: string; },
    outcome: string,
): Promise<CommandResult> {
    const call = { method: "POST", path: `/v1/members/${action}`, body: JSON.stringify(body) };
    const changed = await callControl(client, call, memberChangeResponseSchema);
    if (changed.err) {
        return Err(changed.val);
    }
    const { position, repeated } = changed.val;
    const verb = repeated ? "had been" : "is";
    return Ok({ value: changed.val, lines: [`Member ${body.memberId} ${verb} ${outcome}, position ${position}.`] });
}
