import { Err, Ok } from "../util/result.js";
import { controlStatusSchema } from "./answerSchemas.js";
import { askControl } from "./askControl.js";
import type { CommandResult } from "./commandResult.js";
import { connectionOptions } from "./connectionFlags.js";
import { fetchStates } from "./entryStateClient.js";
import type { CommandAdder } from "./globalFlags.js";
import type { OperatorClient } from "./operatorClient.js";
import { statusLines } from "./statusLines.js";

/** Adds `gullhall status`. */
export const addStatusCommand: CommandAdder = (program, run) =>
    program.command(
        "status",
        "Show the leader, the versions in force at the entries, endpoints and times",
        builder => builder.options(connectionOptions),
        flags => run.executeConnected(flags, client => status(client)),
    );

async function status(client: OperatorClient): Promise<CommandResult> {
    const control = await askControl(client, { method: "GET", path: "/v1/status" }, controlStatusSchema);
    if (control.err) {
        return Err(control.val);
    }
    const states = await fetchStates(control.val.entries);
    return Ok({ value: { ...control.val, entryStates: states }, lines: statusLines(control.val, states) });
}
