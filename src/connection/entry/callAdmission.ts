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
import { readBody } from "../httpBody.js";
import { readPath } from "./callTarget.js";

/** Paths of model calls and their forms. */
const modelPaths: ReadonlyMap<string, ModelCallApi> = new Map([
    ["/v1/chat/completions", "chat"],
    ["/v1/completions", "completion"],
]);

/** Methods that carry a request to a plain service. */
const serviceMethods: readonly string[] = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"];

/** A request that may be served. */
export interface AdmittedCall {
    readonly context: RequestContext;
    /** The body of a model call; undefined for a call of a plain service. */
    readonly modelBody: ModelRequestBody | undefined;
}

interface Authenticated {
    readonly identity: Identity | undefined;
    /** Text of the key; undefined where none came. */
    readonly key: string | undefined;
}

interface Routed {
    readonly resolved: ResolvedRoute;
    readonly modelBody: ModelRequestBody | undefined;
}

/** Authenticates requests and finds their routes; what it refuses was not run. */
export class CallAdmission {
    constructor(private readonly state: EntryProcessState) {}

    /** Reads a request and decides whether it may be served. */
    async admit(request: IncomingMessage, response: ServerResponse): Promise<Result<AdmittedCall, Failure>> {
        const callerLeft = watchCaller(response);
        const path = this.check(request);
        if (path.err) {
            return path;
        }
        const body = await readBody(request, this.state.settings.maximumBodyBytes);
        if (body.err) {
            return body;
        }
        // Permit and configuration are looked at after the body has arrived: a slow sender must not outlive its key.
        const unready = this.state.servingFailure();
        if (unready !== undefined) {
            return Err(unready);
        }
        const authenticated = this.authenticate(request);
        if (authenticated.err) {
            return authenticated;
        }
        const routed = this.route(request, path.val, body.val, authenticated.val);
        if (routed.err) {
            return routed;
        }
        const leaked = this.checkForKeys(request, body.val, authenticated.val.key);
        if (leaked !== undefined) {
            return Err(leaked);
        }
        const { resolved, modelBody } = routed.val;
        const context = this.contextOf(request, response, body.val, authenticated.val, resolved, callerLeft);
        return Ok({ context, modelBody });
    }

    /** Checks what can be checked before the body arrives; returns the path. */
    private check(request: IncomingMessage): Result<string, Failure> {
        const unready = this.state.servingFailure();
        if (unready !== undefined) {
            return Err(unready);
        }
        const path = readPath(request.url ?? "");
        if (path.err) {
            return path;
        }
        const method = request.method ?? "";
        const allowed = modelPaths.has(path.val) ? ["POST"] : serviceMethods;
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

    private authenticate(request: IncomingMessage): Result<Authenticated, Failure> {
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
        { identity }: Authenticated,
    ): Result<Routed, Failure> {
        const configuration = this.state.configuration.current;
        const header = request.headers["x-request-class"];
        const className = typeof header === "string" ? header : undefined;
        const team = identity?.team.name;
        const form = modelPaths.get(path);
        const modelBody = form === undefined ? Ok(undefined) : parseModelRequestBody(form, body);
        if (modelBody.err) {
            return modelBody;
        }
        const resolved = modelBody.val === undefined
            ? configuration.serviceRoute(path, className, team)
            : configuration.modelRoute(modelBody.val.model, className, team);
        if (resolved !== undefined) {
            return Ok({ resolved, modelBody: modelBody.val });
        }
        return Err(identity === undefined ? failure("keyMissing") : failure("routeUnknown", { path }));
    }

    private checkForKeys(request: IncomingMessage, body: Buffer, ownKey: string | undefined): Failure | undefined {
        const { headers, url } = request;
        const configuration = this.state.configuration.current;
        const place = findForwardedKey(
            { target: url ?? "", headers, forwardedHeaders: forwardedRequestHeaders, body },
            ownKey,
            digest => configuration.identify(digest) !== undefined,
        );
        return place === undefined ? undefined : failure("keyInRequest", { place });
    }

    private contextOf(
        request: IncomingMessage,
        response: ServerResponse,
        body: Buffer,
        { identity, key }: Authenticated,
        resolved: ResolvedRoute,
        callerLeft: AbortSignal,
    ): RequestContext {
        const { state } = this;
        const digest = key === undefined ? undefined : keyDigest(key);
        return {
            requestId: state.nextRequestId(),
            request,
            response,
            body,
            identity,
            resolvedRoute: resolved,
            dispatcher: state.dispatcherOf(resolved.pool.name),
            clients: state.clients,
            clock: state.clock,
            eventLog: state.eventLog,
            metrics: state.metrics,
            usage: state.usage,
            configuration: state.configuration,
            claimStore: state.claims,
            deadlines: state.deadlines,
            retryBudgets: state.retryBudgets,
            keyDigest: digest,
            isKeyValid: () => digest === undefined || state.configuration.current.identify(digest) !== undefined,
            callerAbortSignal: callerLeft,
        };
    }
}

/** A signal that aborts when the caller closes its connection before it has the whole answer. */
function watchCaller(response: ServerResponse): AbortSignal {
    const callerLeft = new AbortController();
    response.once("close", () => {
        if (!response.writableFinished) {
            callerLeft.abort();
        }
    });
    return callerLeft.signal;
}
