import type { IncomingMessage } from "node:http";
import { readBody } from "../../connection/httpBody.js";
import { failure } from "../../resultCode/resultCode.js";
import type { Milliseconds } from "../../util/clock.js";
import { Err, Ok } from "../../util/result.js";
import type { Result } from "../../util/result.js";
import { waitForSocketPoll } from "../../util/waitForSocketPoll.js";
import type { DeploymentIndex } from "../../version/deploymentIndex.js";
import { selectService } from "../../version/deploymentIndex.js";
import type { AdmittedCall, CallContext, Refusal, TeamResolver } from "./callContext.js";
import { featuresOf } from "./callFeatures.js";
import type { CallTraits } from "./callTraits.js";

/** Maximum time for which a call waits until the entry may serve calls (until it has a permit). */
const permitWaitLimit: Milliseconds = 400;

/** Polling interval while waiting for the permit. */
const permitPollInterval: Milliseconds = 25;

/** `retry-after` time of a call that was refused because the entry has no permit. */
const permitRetryAfter: Milliseconds = 400;

/**
 * Admits a call: resolves its route, service and team, and reads its body.
 *
 * @returns The admitted call, or the reason why it is refused.
 */
export async function admitCall(
    request: IncomingMessage,
    traits: CallTraits,
    resolveTeam: TeamResolver,
    context: CallContext,
): Promise<Result<AdmittedCall, Refusal>> {
    const indexBeforeBody = await waitForPermittedIndex(context);
    if (indexBeforeBody === undefined) {
        return Err({ reason: failure("entryNotPermitted"), retryAfter: permitRetryAfter });
    }
    const { headerBytes, bodyBytes } = indexBeforeBody.deployment.limits;
    if (request.rawHeaders.join("").length > headerBytes) {
        return Err({ reason: failure("callHeadersTooLarge", { limit: headerBytes }) });
    }
    const admitted = resolveCall(request, resolveTeam, indexBeforeBody, context.random.float());
    if (admitted.err) {
        return admitted;
    }
    const body = hasBody(request) ? await readBody(request, bodyBytes) : Ok(undefined);
    if (body.err) {
        const reason = body.val.code === "bodyTooLarge" ? failure("callTooLarge", { limit: bodyBytes }) : body.val;
        return Err({ reason, call: admitted.val });
    }
    // Only after another poll is known whether the caller is still connected.
    await waitForSocketPoll();
    // The configuration may have changed meanwhile.
    const indexAfterBody = await waitForPermittedIndex(context);
    if (indexAfterBody === undefined) {
        return Err({ reason: failure("entryNotPermitted"), call: admitted.val, retryAfter: permitRetryAfter });
    }
    const readmitted = indexAfterBody === indexBeforeBody
        ? admitted
        : resolveCall(request, resolveTeam, indexAfterBody, context.random.float());
    if (readmitted.err) {
        return readmitted;
    }
    const { method = "GET", url = "/" } = request;
    const content = { method, target: url, team: readmitted.val.team?.name, body: body.val };
    return Ok({ ...readmitted.val, body: body.val, features: featuresOf(traits.promptSegments, content) });
}

/**
 * Why an admitted call may not be sent any more, because its key or route was withdrawn or the permit has lapsed while
 * it waited; undefined if it may.
 */
export function withdrawnAdmission(
    call: AdmittedCall,
    request: IncomingMessage,
    resolveTeam: TeamResolver,
    { view, suspensionDetector, random }: CallContext,
): Refusal | undefined {
    const index = view.permitsCalls(suspensionDetector.now()) ? view.current : undefined;
    if (index === undefined) {
        return { reason: failure("entryNotPermitted"), call, retryAfter: permitRetryAfter };
    }
    if (index.version === call.version) {
        return undefined;
    }
    const resolved = resolveCall(request, resolveTeam, index, random.float());
    return resolved.err ? resolved.val : undefined;
}

/** The call at another service, if its route still leads there; undefined if it does not. */
export function withService(call: AdmittedCall, name: string, { view }: CallContext): AdmittedCall | undefined {
    if (call.service.name === name) {
        return call;
    }
    const isTarget = call.route.targets.some(({ service, weight }) => service === name && weight > 0);
    const service = isTarget ? view.current?.findService(name) : undefined;
    return service && { ...call, service, minimumEventGapTarget: view.current?.minimumEventGapTarget(name) };
}

/** The current configuration once a recent quorum confirmation permits calls; undefined if that takes too long. */
async function waitForPermittedIndex(
    { view, suspensionDetector, clock }: CallContext,
): Promise<DeploymentIndex | undefined> {
    const deadline = clock.now() + permitWaitLimit;
    while (!view.permitsCalls(suspensionDetector.now()) && clock.now() < deadline) {
        await clock.sleep(permitPollInterval);
        await waitForSocketPoll();
    }
    return view.permitsCalls(suspensionDetector.now()) ? view.current : undefined;
}

/**
 * Resolves the call's route, service and team; fails if the route is unknown or a required key is missing or unknown.
 */
function resolveCall(
    request: IncomingMessage,
    resolveTeam: TeamResolver,
    deploymentIndex: DeploymentIndex,
    trafficSplitSample: number,
): Result<AdmittedCall, Refusal> {
    const path = (request.url ?? "/").split("?", 1)[0] ?? "/";
    const route = deploymentIndex.findRoute(request.headers.host ?? "", path);
    const service = route && deploymentIndex.findService(selectService(route, trafficSplitSample));
    if (route === undefined || service === undefined) {
        return Err({ reason: failure("callRouteUnknown") });
    }
    const team = resolveTeam(deploymentIndex);
    const call = {
        route,
        service,
        team,
        body: undefined,
        features: [],
        minimumEventGapTarget: deploymentIndex.minimumEventGapTarget(service.name),
        urgency: deploymentIndex.urgencyOf(route, team),
        version: deploymentIndex.version,
    };
    return deploymentIndex.needsKey(route) && team === undefined
        ? Err({ reason: failure("callKeyUnknown"), call })
        : Ok(call);
}

function hasBody(request: IncomingMessage): boolean {
    return request.headers["content-length"] !== undefined || request.headers["transfer-encoding"] !== undefined;
}
