import { createServer } from "node:http";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { EntryProcessState } from "../../process/entry/entryProcessState.js";
import { readModelBody } from "../../request/model/modelBody.js";
import type { ModelCallForm } from "../../request/model/modelBody.js";
import { ModelRequest } from "../../request/model/modelRequest.js";
import type { RequestContext } from "../../request/requestContext.js";
import { ServiceRequest } from "../../request/service/serviceRequest.js";
import { failure } from "../../resultCode/resultCode.js";
import type { Failure } from "../../resultCode/resultCode.js";
import type { Milliseconds } from "../../util/clock.js";
import { keyDigest } from "../../util/keyDigest.js";
import { Err, Ok } from "../../util/result.js";
import type { Result } from "../../util/result.js";
import { listen } from "../../util/socketAddress.js";
import type { Identity, ResolvedRoute } from "../../version/compiledConfiguration.js";
import { answerFailure, answerJson } from "../httpAnswer.js";
import { readBody } from "../httpBody.js";

/** Longest time for the headers of a request, in milliseconds. */
const headersTimeout: Milliseconds = 10_000;

/** Longest time for a whole request to arrive, in milliseconds. */
const requestTimeout: Milliseconds = 30_000;

/** Largest headers of a request, in bytes. */
const maximumHeaderBytes = 16 * 1024;

/** Paths of model calls and their forms. */
const modelPaths: ReadonlyMap<string, ModelCallForm> = new Map([
    ["/v1/chat/completions", "chat"],
    ["/v1/completions", "completion"],
]);

/** Answers callers over HTTP. */
export class CallerServer implements AsyncDisposable {
    private readonly server = createServer(
        { headersTimeout, requestTimeout, maxHeaderSize: maximumHeaderBytes },
        (request, response) => {
            void this.answer(request, response);
        },
    );

    constructor(private readonly state: EntryProcessState) {}

    /** Starts to listen; resolves with the bound address. */
    start(): Promise<string> {
        return listen(this.server, this.state.settings.callerAddress);
    }

    /** Ends after the last running request was answered. */
    async [Symbol.asyncDispose](): Promise<void> {
        const closed = new Promise<void>(resolve => {
            this.server.close(() => {
                resolve();
            });
        });
        this.server.closeIdleConnections();
        await closed;
    }

    private async answer(request: IncomingMessage, response: ServerResponse): Promise<void> {
        const path = (request.url ?? "/").split("?", 1)[0] ?? "/";
        if (this.state.draining) {
            // Callers keep connections open; a stopping entry ends each of them with its present answer.
            response.setHeader("connection", "close");
        }
        if (path === "/v1/entries" && request.method === "GET") {
            answerJson(response, 200, this.state.discovery.answer(), {
                "cache-control": `max-age=${this.state.settings.discoverySeconds}`,
            });
            return;
        }
        const context = await this.admit(request, response, path);
        if (context.err) {
            answerFailure(response, context.val);
            return;
        }
        const form = modelPaths.get(path);
        if (form === undefined) {
            await new ServiceRequest(context.val).run();
            return;
        }
        const body = readModelBody(form, context.val.body);
        if (body.err) {
            answerFailure(response, body.val);
            return;
        }
        await new ModelRequest(context.val, body.val).run();
    }

    /** Authenticates and resolves a request; what it returns as a failure was not run. */
    private async admit(
        request: IncomingMessage,
        response: ServerResponse,
        path: string,
    ): Promise<Result<RequestContext, Failure>> {
        const callerLeft = new AbortController();
        response.once("close", () => {
            if (!response.writableFinished) {
                callerLeft.abort();
            }
        });
        const unready = this.state.unreadiness();
        if (unready !== undefined) {
            return Err(unready);
        }
        const body = await readBody(request, this.state.settings.maximumBodyBytes);
        if (body.err) {
            return body;
        }
        // The configuration is looked up after the body has arrived, so that a slow sender cannot outlive its key.
        const identity = this.authenticate(request);
        if (identity.err) {
            return identity;
        }
        const resolved = this.resolve(request, path, body.val, identity.val);
        if (resolved.err) {
            return resolved;
        }
        return Ok({
            requestId: this.state.nextRequestId(),
            request,
            response,
            body: body.val,
            identity: identity.val,
            resolved: resolved.val,
            dispatcher: this.state.dispatcherOf(resolved.val.pool.name),
            clients: this.state.clients,
            clock: this.state.clock,
            eventLog: this.state.eventLog,
            metrics: this.state.metrics,
            usage: this.state.usage,
            configuration: this.state.configuration,
            callerLeft: callerLeft.signal,
        });
    }

    private authenticate(request: IncomingMessage): Result<Identity | undefined, Failure> {
        const token = /^Bearer (.+)$/.exec(request.headers.authorization ?? "")?.[1];
        if (token === undefined) {
            return Ok(undefined);
        }
        const identity = this.state.configuration.current.identify(keyDigest(token));
        return identity === undefined ? Err(failure("keyUnknown")) : Ok(identity);
    }

    private resolve(
        request: IncomingMessage,
        path: string,
        body: Buffer,
        identity: Identity | undefined,
    ): Result<ResolvedRoute, Failure> {
        const configuration = this.state.configuration.current;
        const header = request.headers["x-request-class"];
        const className = typeof header === "string" ? header : undefined;
        const form = modelPaths.get(path);
        const team = identity?.team.name;
        let resolved: ResolvedRoute | undefined;
        if (form === undefined) {
            resolved = configuration.serviceRoute(path, className, team);
        }
        else {
            const modelBody = readModelBody(form, body);
            if (modelBody.err) {
                return modelBody;
            }
            resolved = configuration.modelRoute(modelBody.val.model, className, team);
        }
        if (resolved !== undefined) {
            return Ok(resolved);
        }
        return Err(identity === undefined ? failure("keyMissing") : failure("routeUnknown", { path }));
    }
}
