import type { IncomingMessage } from "node:http";
import type { RelayedCall } from "../../connection/hosted/relayHeaders.js";
import { readBody } from "../../connection/httpBody.js";
import { failure } from "../../resultCode/resultCode.js";
import type { Failure } from "../../resultCode/resultCode.js";
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

/** Lower bound of the random `retry-after` time of a call for whose body there is too little memory. */
const memoryRetryAfter: Milliseconds = 1_000;

/**
 * Admits a call: resolves its route, service and team, and reads its body.
 *
 * @param relayed The call as another entry has admitted it; only the same version of the configuration may admit it here.
 * @returns The admitted call, or the reason why it is refused.
 */
export async function admitCall(
    request: IncomingMessage,
    traits: CallTraits,
    resolveTeam: TeamResolver,
    context: CallContext,
    relayed?: RelayedCall,
): Promise<Result<AdmittedCall, Refusal>> {
    const indexBeforeBody = await waitForPermittedIndex(context, relayed?.version);
    if (indexBeforeBody === undefined) {
        return Err({ reason: failure("entryNotPermitted"), retryAfter: permitRetryAfter });
    }
    if (isNewerThanAdmission(indexBeforeBody, relayed)) {
        return Err({ reason: failure("relayVersionDiffers") });
    }
    const { headerBytes, bodyBytes } = indexBeforeBody.deployment.limits;
    // The entry that relays a call has checked its headers and added others.
    if (relayed === undefined && request.rawHeaders.join("").length > headerBytes) {
        return Err({ reason: failure("callHeadersTooLarge", { limit: headerBytes }) });
    }
    const admitted = resolveCall(request, resolveTeam, indexBeforeBody, context.random.float());
    if (admitted.err) {
        return admitted;
    }
    const body = hasBody(request) ? await readBody(request, bodyBytes) : Ok(undefined);
    if (body.err) {
        return Err({ ...bodyRefusal(body.val, bodyBytes, context), call: admitted.val });
    }
    // Only after another poll is known whether the caller is still connected.
    await waitForSocketPoll();
    // The configuration may have changed meanwhile.
    const indexAfterBody = await waitForPermittedIndex(context, relayed?.version);
    if (indexAfterBody === undefined) {
        return Err({ reason: failure("entryNotPermitted"), call: admitted.val, retryAfter: permitRetryAfter });
    }
    if (isNewerThanAdmission(indexAfterBody, relayed)) {
        return Err({ reason: failure("relayVersionDiffers"), call: admitted.val });
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

function bodyRefusal(reason: Failure, limit: number, { random }: CallContext): Pick<Refusal, "reason" | "retryAfter"> {
    if (reason.code === "bodyTooLarge") {
        return { reason: failure("callTooLarge", { limit }) };
    }
    return reason.code === "requestMemoryExhausted"
        ? { reason, retryAfter: memoryRetryAfter * (1 + random.float()) }
        : { reason };
}

/**
 * Admits an admitted call anew by the configuration in force, which may have changed while the call waited.
 *
 * @returns The call, or why it may not be sent any more: its key or route was withdrawn, or the permit has lapsed.
 */
export function readmitCall(
    call: AdmittedCall,
    request: IncomingMessage,
    resolveTeam: TeamResolver,
    { view, suspensionDetector, random }: CallContext,
): Result<AdmittedCall, Refusal> {
    const index = view.permitsCalls(suspensionDetector.now()) ? view.current : undefined;
    if (index === undefined) {
        return Err({ reason: failure("entryNotPermitted"), call, retryAfter: permitRetryAfter });
    }
    if (index.version === call.version) {
        return Ok(call);
    }
    const { body, features } = call;
    return resolveCall(request, resolveTeam, index, random.float()).map(resolved => ({ ...resolved, body, features }));
}

/** Waits until a version is in force, but not longer than a call waits for the permit; returns whether it is. */
export async function waitForVersion(version: number, { view, clock }: CallContext): Promise<boolean> {
    const deadline = clock.now() + permitWaitLimit;
    while (view.version < version && clock.now() < deadline) {
        await clock.sleep(permitPollInterval);
    }
    return view.version >= version;
}

/** Whether this entry applies a newer configuration than the one by which another entry admitted a call. */
function isNewerThanAdmission(index: DeploymentIndex, relayed: RelayedCall | undefined): boolean {
    return relayed?.version !== undefined && index.version > relayed.version;
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

/**
 * The current configuration once a recent quorum confirmation permits calls and it has a minimum version; undefined if
 * that takes too long.
 */
async function waitForPermittedIndex(
    { view, suspensionDetector, clock }: CallContext,
    minimumVersion = 0,
): Promise<DeploymentIndex | undefined> {
    const deadline = clock.now() + permitWaitLimit;
    const isReady = (): boolean => view.permitsCalls(suspensionDetector.now()) && view.version >= minimumVersion;
    while (!isReady() && clock.now() < deadline) {
        await clock.sleep(permitPollInterval);
        await waitForSocketPoll();
    }
    return isReady() ? view.current : undefined;
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
