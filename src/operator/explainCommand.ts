import { Err, Ok } from "../util/result.js";
import { callControl } from "./callControl.js";
import type { CommandResult } from "./commandResult.js";
import { connectionOptions } from "./connectionFlags.js";
import { predictEntryDecision } from "./entryPrediction.js";
import { fetchEntryStates } from "./entryStateClient.js";
import { explanationLines } from "./explanationLines.js";
import type { CommandRegistrar } from "./globalFlags.js";
import type { OperatorClient } from "./operatorClient.js";
import { explanationResponseSchema } from "./responseSchemas.js";

/** Flags that describe the request to explain. */
interface RequestFlags {
    readonly team: string | undefined;
    readonly model: string | undefined;
    readonly path: string | undefined;
    readonly class: string | undefined;
}

/** Registers `gullhall explain`. */
export const registerExplainCommand: CommandRegistrar = (program, runner) =>
    program.command(
        "explain",
        "Show whether a request would be admitted, queued or refused, why, and to which endpoints it could go",
        builder =>
            builder
                .options(connectionOptions)
                .option("team", {
                    type: "string",
                    describe: "Team of the request; without it, a request without a key",
                })
                .option("model", { type: "string", describe: "Model of the request" })
                .option("path", { type: "string", describe: "Path of a request to a service" })
                .option("class", { type: "string", describe: "Request class that the request asks for" })
                .check(({ model, path }) => {
                    if ((model === undefined) === (path === undefined)) {
                        throw new Error("specify either --model or --path");
                    }
                    return true;
                }),
        flags => runner.executeWithClient(flags, client => explain(client, flags)),
    );

async function explain(client: OperatorClient, flags: RequestFlags): Promise<CommandResult> {
    const call = { method: "GET", path: `/v1/explain?${queryString(flags)}` };
    const explanation = await callControl(client, call, explanationResponseSchema);
    if (explanation.err) {
        return Err(explanation.val);
    }
    const { resolved, entries } = explanation.val;
    if (resolved === undefined) {
        return Ok({ value: explanation.val, lines: explanationLines(explanation.val, []) });
    }
    const states = await fetchEntryStates(entries);
    const predictions = states.map(({ entry, state }) => predictEntryDecision(entry, state, resolved.pool));
    return Ok({
        value: { ...explanation.val, verdicts: predictions },
        lines: explanationLines(explanation.val, predictions),
    });
}

function queryString({ team, model, path, class: className }: RequestFlags): string {
    const query = new URLSearchParams();
    for (const [name, value] of Object.entries({ team, model, path, class: className })) {
        if (value !== undefined) {
            query.set(name, value);
        }
    }
    return query.toString();
}
