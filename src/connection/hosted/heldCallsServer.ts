import type { IncomingMessage, ServerResponse } from "node:http";
import { z } from "zod";
import type { QuarantineDuty } from "../../process/hosted/control/quarantineDuty.js";
import type { FeatureHold } from "../../process/hosted/featureHold.js";
import { failure } from "../../resultCode/resultCode.js";
import { readBody } from "../httpBody.js";
import { sendFailure, sendJson } from "../httpResponse.js";

/** Path that lists which calls are held back (GET), and under which they are released (DELETE). */
export const heldCallsPath = "/v1/held-calls";

/** Maximum size of a request to release calls, in bytes. */
const maximumReleaseBytes = 4 * 1024;

const releaseSchema = z.object({ service: z.string(), feature: z.string() });

/** Dependencies of {@link handleHeldCallsRequest}. */
export interface HeldCallsContext {
    readonly holds: () => readonly FeatureHold[];
    readonly quarantine: QuarantineDuty;
    /** Operator address of the leader if another process leads; undefined if this one does or none is known. */
    readonly otherLeader: () => string | undefined;
}

/** Responds to an operator who lists the calls that are held back, or releases some by `service` and `feature`. */
export async function handleHeldCallsRequest(
    request: IncomingMessage,
    response: ServerResponse,
    { holds, quarantine, otherLeader }: HeldCallsContext,
): Promise<void> {
    if (request.method === "GET") {
        request.resume();
        sendJson(response, 200, { held: holds() });
        return;
    }
    const leader = otherLeader();
    if (leader !== undefined) {
        request.resume();
        sendJson(response, 307, {}, { location: `http://${leader}${heldCallsPath}` });
        return;
    }
    const body = await readBody(request, maximumReleaseBytes);
    const release = releaseSchema.safeParse(body.ok ? parseJson(body.val) : undefined);
    if (!release.success) {
        sendFailure(response, failure("bodyMalformed", { reason: "it is no object with a service and a feature" }));
        return;
    }
    const wasReleased = await quarantine.release(release.data.service, release.data.feature);
    if (wasReleased === undefined) {
        sendFailure(response, failure("quorumUnavailable"));
        return;
    }
    sendJson(response, 200, { wasReleased });
}

function parseJson(bytes: Buffer): unknown {
    try {
        return JSON.parse(bytes.toString("utf8"));
    }
    catch {
        return undefined;
    }
}
