import { definitionOf } from "../resultCode/resultCode.js";
import { Err, Ok } from "../util/result.js";
import type { Result } from "../util/result.js";
import { acceptanceSchema, inForceSchema } from "./answerSchemas.js";
import { askControl } from "./askControl.js";
import type { CommandError } from "./commandError.js";
import type { CommandResult } from "./commandResult.js";
import type { OperatorCall, OperatorClient } from "./operatorClient.js";

/** The flag of commands that change the configuration. */
export const waitOption = {
    wait: { type: "boolean", default: false, describe: "Return when no entry can still serve without the change" },
} as const;

/** Asks for a change and, if wanted, waits until it is in force everywhere. */
export async function changeConfiguration(
    client: OperatorClient,
    call: OperatorCall,
    what: string,
    wait: boolean,
): Promise<CommandResult> {
    const accepted = await askControl(client, call, acceptanceSchema);
    if (accepted.err) {
        return Err(accepted.val);
    }
    const { version, repeated } = accepted.val;
    const lines = [`${what}: accepted${repeated ? " before" : ""}, version ${version}.`];
    if (!wait) {
        return Ok({ value: { version, repeated }, lines });
    }
    const inForce = await waitInForce(client, version);
    if (inForce.err) {
        return Err(inForce.val);
    }
    return Ok({ value: { version, repeated, inForce: true }, lines: [...lines, "In force at every entry."] });
}

/** Calls in which a version is waited for at most; each of them waits two seconds. */
const maximumWaits = 15;

/** Waits until no entry can still serve without a version. */
async function waitInForce(client: OperatorClient, version: number): Promise<Result<unknown, readonly CommandError[]>> {
    const call = { method: "GET", path: `/v1/in-force?version=${version}` };
    const stillWaiting = `GH${definitionOf("waitTimedOut").number}`;
    let answer = await askControl(client, call, inForceSchema);
    for (let waits = 1; waits < maximumWaits && answer.err && answer.val[0]?.code === stillWaiting; waits++) {
        answer = await askControl(client, call, inForceSchema);
    }
    return answer;
}
