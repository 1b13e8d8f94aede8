import { Err, Ok } from "../util/result.js";
import { callControl } from "./callControl.js";
import type { CommandResult } from "./commandResult.js";
import { connectionOptions } from "./connectionFlags.js";
import { fetchEntryStates } from "./entryStateClient.js";
import type { CommandRegistrar } from "./globalFlags.js";
import type { OperatorClient } from "./operatorClient.js";
import { statusResponseSchema } from "./responseSchemas.js";
import { statusLines } from "./statusLines.js";

/** Registers `gullhall status`. */
export const registerStatusCommand: CommandRegistrar = (program, runner) =>
    program.command(
        "status",
        "Show the leader, the members, the version at each entry, the endpoints and the latencies",
        builder => builder.options(connectionOptions),
        flags => runner.executeWithClient(flags, client => showStatus(client)),
    );

async function showStatus(client: OperatorClient): Promise<CommandResult> {
    const status = await callControl(client, { method: "GET", path: "/v1/status" }, statusResponseSchema);
    if (status.err) {
        return Err(status.val);
    }
    const states = await fetchEntryStates(status.val.entries);
    return Ok({ value: { ...status.val, entryStates: states }, lines: statusLines(status.val, states) });
}
