import type { IncomingMessage } from "node:http";
import { readBody } from "../../connection/httpBody.js";
import { failure } from "../../resultCode/resultCode.js";
import type { Milliseconds } from "../../util/clock.js";
import { Err, Ok } from "../../util/result.js";
import type { Result } from "../../util/result.js";
import type { DeploymentIndex } from "../../version/deploymentIndex.js";
import { drawService } from "../../version/deploymentIndex.js";
import type { AdmittedCall, CallParts, Refusal } from "./callParts.js";
import type { CallTraits } from "./callTraits.js";

/** Maximum time for which a call waits for the entry to obtain its permit. */
const permitPatience: Milliseconds = 400;

/** Polling interval while waiting for the permit. */
const permitLook: Milliseconds = 25;

/** `retry-after` time of a call that was refused because the entry has no permit. */
const permitRetryAfter: Milliseconds = 400;

/**
 * Authenticates a call: resolves its route and team and reads its body.
 *
 * @returns The admitted call, or the reason why it is refused.
 */
export async function admitCall(
    request: IncomingMessage,
    traits: CallTraits,
    parts: CallParts,
): Promise<Result<AdmittedCall, Refusal>> {
    const before = await permittedIndex(parts);
    if (before === undefined) {
        return Err({ reason: failure("entryNotPermitted"), retryAfter: permitRetryAfter });
    }
    const { headerBytes, bodyBytes } = before.deployment.limits;
    if (request.rawHeaders.join("").length > headerBytes) {
        return Err({ reason: failure("callHeadersTooLarge", { limit: headerBytes }) });
    }
    const checked = checkCall(request, traits, before, parts.random.float());
    if (checked.err || !hasBody(request)) {
        return checked;
    }
    const body = await readBody(request, bodyBytes);
    if (body.err) {
        const reason = body.val.code === "bodyTooLarge" ? failure("callTooLarge", { limit: bodyBytes }) : body.val;
        return Err({ reason, call: checked.val });
    }
    // The configuration may have changed while the body was read.
    const after = await permittedIndex(parts);
    if (after === undefined) {
        return Err({ reason: failure("entryNotPermitted"), call: checked.val, retryAfter: permitRetryAfter });
    }
    const still = after === before ? checked : checkCall(request, traits, after, parts.random.float());
    return still.ok ? Ok({ ...still.val, body: body.val }) : still;
}

/** Waits until a quorum has recently confirmed the current configuration; undefined if that takes too long. */
async function permittedIndex({ view, suspension, clock }: CallParts): Promise<DeploymentIndex | undefined> {
    const giveUpAt = clock.now() + permitPatience;
    while (!view.permits(suspension.now()) && clock.now() < giveUpAt) {
        await clock.sleep(permitLook);
    }
    return view.permits(suspension.now()) ? view.current : undefined;
}

/**
 * Resolves the call's route, service and team; fails if the route is unknown or a required key is missing or unknown.
 */
function checkCall(
    request: IncomingMessage,
    traits: CallTraits,
    index: DeploymentIndex,
    draw: number,
): Result<AdmittedCall, Refusal> {
    const path = (request.url ?? "/").split("?", 1)[0] ?? "/";
    const route = index.findRoute(request.headers.host ?? "", path);
    const service = route && index.findService(drawService(route, draw));
    if (route === undefined || service === undefined) {
        return Err({ reason: failure("callRouteUnknown") });
    }
    const team = traits.key === undefined ? undefined : index.findTeam(traits.key);
    const call = {
        route,
        service,
        team,
        body: undefined,
        shortestPause: index.shortestPauseAt(service.name),
        urgency: index.urgencyOf(route, team),
        version: index.version,
    };
    return index.needsKey(route) && team === undefined
        ? Err({ reason: failure("callKeyUnknown"), call })
        : Ok(call);
}

function hasBody(request: IncomingMessage): boolean {
    return request.headers["content-length"] !== undefined || request.headers["transfer-encoding"] !== undefined;
}
