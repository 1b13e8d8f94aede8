import { Err, Ok } from "../util/result.js";
import { explanationSchema } from "./answerSchemas.js";
import { askControl } from "./askControl.js";
import type { CommandResult } from "./commandResult.js";
import { connectionOptions } from "./connectionFlags.js";
import { fetchStates } from "./entryStateClient.js";
import { entryVerdict } from "./entryVerdict.js";
import { explanationLines } from "./explanationLines.js";
import type { CommandAdder } from "./globalFlags.js";
import type { OperatorClient } from "./operatorClient.js";

/** The properties of the request that is asked about. */
interface RequestFlags {
    readonly team: string | undefined;
    readonly model: string | undefined;
    readonly path: string | undefined;
    readonly class: string | undefined;
}

/** Adds `gullhall explain`. */
export const addExplainCommand: CommandAdder = (program, run) =>
    program.command(
        "explain",
        "Say whether a request would be admitted, queued or refused, why, and where it would go",
        builder =>
            builder
                .options(connectionOptions)
                .option("team", { type: "string", describe: "Team of the request; absent: a request without a key" })
                .option("model", { type: "string", describe: "Model that the request names" })
                .option("path", { type: "string", describe: "Path of a call to a plain service" })
                .option("class", { type: "string", describe: "Class that the request names" })
                .check(({ model, path }) => {
                    if ((model === undefined) === (path === undefined)) {
                        throw new Error("name either --model or --path");
                    }
                    return true;
                }),
        flags => run.executeConnected(flags, client => explain(client, flags)),
    );

async function explain(client: OperatorClient, flags: RequestFlags): Promise<CommandResult> {
    const call = { method: "GET", path: `/v1/explain?${queryOf(flags)}` };
    const explanation = await askControl(client, call, explanationSchema);
    if (explanation.err) {
        return Err(explanation.val);
    }
    const { resolved, entries } = explanation.val;
    if (resolved === undefined) {
        return Ok({ value: explanation.val, lines: explanationLines(explanation.val, []) });
    }
    const states = await fetchStates(entries);
    const verdicts = states.map(({ entry, state }) => entryVerdict(entry, state, resolved.pool));
    return Ok({ value: { ...explanation.val, verdicts }, lines: explanationLines(explanation.val, verdicts) });
}

function queryOf({ team, model, path, class: className }: RequestFlags): string {
    const query = new URLSearchParams();
    for (const [name, value] of Object.entries({ team, model, path, class: className })) {
        if (value !== undefined) {
            query.set(name, value);
        }
    }
    return query.toString();
}
