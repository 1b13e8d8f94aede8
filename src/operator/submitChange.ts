import { definitionOf } from "../resultCode/resultCode.js";
import { Err, Ok } from "../util/result.js";
import type { Result } from "../util/result.js";
import { callControl } from "./callControl.js";
import type { CommandError } from "./commandError.js";
import type { CommandResult } from "./commandResult.js";
import type { OperatorCall, OperatorClient } from "./operatorClient.js";
import { changeResponseSchema, inForceResponseSchema } from "./responseSchemas.js";

/** The `--wait` flag of commands that change the configuration. */
export const waitOption = {
    wait: { type: "boolean", default: false, describe: "Wait until no entry can serve requests without the change" },
} as const;

/**
 * Submits a change of the configuration.
 *
 * @param subject Subject of the printed line, for example `Manifest`.
 * @param wait Whether to wait until no entry can serve requests without the change.
 */
export async function submitChange(
    client: OperatorClient,
    call: OperatorCall,
    subject: string,
    wait: boolean,
): Promise<CommandResult> {
    const accepted = await callControl(client, call, changeResponseSchema);
    if (accepted.err) {
        return Err(accepted.val);
    }
    const { version, repeated } = accepted.val;
    const lines = [`${subject}: accepted${repeated ? " before" : ""}, version ${version}.`];
    if (!wait) {
        return Ok({ value: { version, repeated }, lines });
    }
    const inForce = await waitUntilInForce(client, version);
    if (inForce.err) {
        return Err(inForce.val);
    }
    return Ok({ value: { version, repeated, inForce: true }, lines: [...lines, "In force at every entry."] });
}

/** Maximum number of calls that wait for one version; the control process holds each of them for up to 2 s. */
const maximumWaitCalls = 15;

/** Waits until no entry can serve requests with a version older than the given one. */
async function waitUntilInForce(
    client: OperatorClient,
    version: number,
): Promise<Result<unknown, readonly CommandError[]>> {
    const call = { method: "GET", path: `/v1/in-force?version=${version}` };
    const timeoutCode = `GH${definitionOf("waitTimedOut").number}`;
    let response = await callControl(client, call, inForceResponseSchema);
    for (
        let waitCalls = 1;
        waitCalls < maximumWaitCalls && response.err && response.val[0]?.code === timeoutCode;
        waitCalls++
    ) {
        response = await callControl(client, call, inForceResponseSchema);
    }
    return response;
}
