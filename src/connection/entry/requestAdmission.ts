import type { IncomingMessage, ServerResponse } from "node:http";
import type { EntryProcessState } from "../../process/entry/entryProcessState.js";
import { maximumIdempotencyKeyLength } from "../../request/claims/serviceClaim.js";
import { findForwardedKey } from "../../request/forwardedKey.js";
import { parseModelRequestBody } from "../../request/model/modelRequestBody.js";
import type { ModelCallApi, ModelRequestBody } from "../../request/model/modelRequestBody.js";
import type { RequestContext } from "../../request/requestContext.js";
import { forwardedRequestHeaders } from "../../request/service/forwardedHeaders.js";
import { failure } from "../../resultCode/resultCode.js";
import type { Failure } from "../../resultCode/resultCode.js";
import { keyDigest } from "../../util/keyDigest.js";
import { Err, Ok } from "../../util/result.js";
import type { Result } from "../../util/result.js";
import type { Identity, ResolvedRoute } from "../../version/compiledConfiguration.js";
import { createCallerAbortSignal } from "../callerAbortSignal.js";
import { readBody } from "../httpBody.js";
import { parseRequestPath } from "./requestPath.js";

/** APIs of model calls, by path. */
const modelCallApis: ReadonlyMap<string, ModelCallApi> = new Map([
    ["/v1/chat/completions", "chat"],
    ["/v1/completions", "completion"],
]);

/** Methods that are allowed for calls of plain services. */
const serviceMethods: readonly string[] = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"];

/** A request that was admitted. */
export interface AdmittedRequest {
    readonly context: RequestContext;
    /** The body of a model call; undefined for a call of a plain service. */
    readonly modelBody: ModelRequestBody | undefined;
}

interface Authentication {
    readonly identity: Identity | undefined;
    /** Plain text of the API key; undefined if the request has none. */
    readonly key: string | undefined;
}

interface RoutedRequest {
    readonly resolvedRoute: ResolvedRoute;
    readonly modelBody: ModelRequestBody | undefined;
}

/** Authenticates requests and resolves their routes. A refused request has not been run. */
export class RequestAdmission {
    constructor(private readonly state: EntryProcessState) {}

    /** Reads a request, including its body, and decides whether it is admitted. */
    async admit(request: IncomingMessage, response: ServerResponse): Promise<Result<AdmittedRequest, Failure>> {
        const callerAbortSignal = createCallerAbortSignal(request, response);
        const path = this.checkHead(request);
        if (path.err) {
            return path;
        }
        const body = await readBody(request, this.state.settings.maximumBodyBytes);
        if (body.err) {
            return body;
        }
        // Checked again after the body has arrived: meanwhile the permit may have expired, or the key of a slow sender may
        // have been withdrawn.
        const notReady = this.state.servingFailure();
        if (notReady !== undefined) {
            return Err(notReady);
        }
        const authenticated = this.authenticate(request);
        if (authenticated.err) {
            return authenticated;
        }
        const routed = this.route(request, path.val, body.val, authenticated.val);
        if (routed.err) {
            return routed;
        }
        const forwardedKey = this.checkForForwardedKeys(request, body.val, authenticated.val.key);
        if (forwardedKey !== undefined) {
            return Err(forwardedKey);
        }
        const { resolvedRoute, modelBody } = routed.val;
        const context = this.createContext(
            request,
            response,
            body.val,
            authenticated.val,
            resolvedRoute,
            callerAbortSignal,
        );
        return Ok({ context, modelBody });
    }

    /** Checks what does not depend on the body; returns the path. */
    private checkHead(request: IncomingMessage): Result<string, Failure> {
        const servingFailure = this.state.servingFailure();
        if (servingFailure !== undefined) {
            return Err(servingFailure);
        }
        const path = parseRequestPath(request.url ?? "");
        if (path.err) {
            return path;
        }
        const method = request.method ?? "";
        const allowed = modelCallApis.has(path.val) ? ["POST"] : serviceMethods;
        if (!allowed.includes(method)) {
            const data = { path: path.val, method, allowed: allowed.join(", ") };
            return Err(failure("methodNotAllowed", data));
        }
        const key = request.headers["idempotency-key"];
        if (key !== undefined && (typeof key !== "string" || key === "" || key.length > maximumIdempotencyKeyLength)) {
            return Err(failure("idempotencyKeyMalformed", { limit: maximumIdempotencyKeyLength }));
        }
        const authenticated = this.authenticate(request);
        return authenticated.err ? authenticated : path;
    }

    private authenticate(request: IncomingMessage): Result<Authentication, Failure> {
        const key = /^Bearer +(\S+) *$/i.exec(request.headers.authorization ?? "")?.[1];
        if (key === undefined) {
            return Ok({ identity: undefined, key: undefined });
        }
        const identity = this.state.configuration.current.identify(keyDigest(key));
        return identity === undefined ? Err(failure("keyUnknown")) : Ok({ identity, key });
    }

    private route(
        request: IncomingMessage,
        path: string,
        body: Buffer,
        { identity }: Authentication,
    ): Result<RoutedRequest, Failure> {
        const configuration = this.state.configuration.current;
        const header = request.headers["x-request-class"];
        const className = typeof header === "string" ? header : undefined;
        const team = identity?.team.name;
        const modelCallApi = modelCallApis.get(path);
        const modelBody = modelCallApi === undefined ? Ok(undefined) : parseModelRequestBody(modelCallApi, body);
        if (modelBody.err) {
            return modelBody;
        }
        const resolvedRoute = modelBody.val === undefined
            ? configuration.resolveServiceRoute(path, className, team)
            : configuration.resolveModelRoute(modelBody.val.model, className, team);
        if (resolvedRoute !== undefined) {
            return Ok({ resolvedRoute, modelBody: modelBody.val });
        }
        return Err(identity === undefined ? failure("keyMissing") : failure("routeUnknown", { path }));
    }

    private checkForForwardedKeys(
        request: IncomingMessage,
        body: Buffer,
        ownKey: string | undefined,
    ): Failure | undefined {
        const { headers, url } = request;
        const configuration = this.state.configuration.current;
        const keyLocation = findForwardedKey(
            { target: url ?? "", headers, forwardedHeaders: forwardedRequestHeaders, body },
            ownKey,
            digest => configuration.identify(digest) !== undefined,
        );
        return keyLocation === undefined ? undefined : failure("keyInRequest", { place: keyLocation });
    }

    private createContext(
        request: IncomingMessage,
        response: ServerResponse,
        body: Buffer,
        { identity, key }: Authentication,
        resolvedRoute: ResolvedRoute,
        callerAbortSignal: AbortSignal,
    ): RequestContext {
        const { state } = this;
        const callerKeyDigest = key === undefined ? undefined : keyDigest(key);
        return {
            requestId: state.nextRequestId(),
            request,
            response,
            body,
            identity,
            resolvedRoute,
            dispatcher: state.dispatcherOf(resolvedRoute.pool.name),
            endpointClients: state.endpointClients,
            clock: state.clock,
            eventLog: state.eventLog,
            metrics: state.metrics,
            usageRecorder: state.usageRecorder,
            configuration: state.configuration,
            claimStore: state.claims,
            deadlines: state.deadlines,
            retryBudgets: state.retryBudgets,
            quarantine: state.quarantine,
            keyDigest: callerKeyDigest,
            isKeyValid: () =>
                callerKeyDigest === undefined || state.configuration.current.identify(callerKeyDigest) !== undefined,
            servingFailure: () => state.servingFailure(),
            callerAbortSignal,
        };
    }
}
