import type { IncomingMessage, ServerResponse } from "node:http";
import { failure } from "../../resultCode/resultCode.js";
import type { Milliseconds } from "../../util/clock.js";
import { keyDigest } from "../../util/keyDigest.js";
import { listen } from "../../util/socketAddress.js";
import { sendFailure } from "../httpResponse.js";
import { HttpServerDrain } from "../httpServerDrain.js";
import type { HttpListeners } from "../server/httpListeners.js";
import { EntryHandlers } from "./entryHandlers.js";
import { ExplainHandlers } from "./explainHandlers.js";
import { KeyHandlers } from "./keyHandlers.js";
import { ManifestHandlers, maximumManifestBytes } from "./manifestHandlers.js";
import type { ManifestHandlersOptions } from "./manifestHandlers.js";
import { MemberHandlers } from "./memberHandlers.js";
import type { OperatorRoute } from "./operatorExchange.js";
import { StatusHandlers } from "./statusHandlers.js";
import type { StatusHandlersOptions } from "./statusHandlers.js";
import { UsageHandlers } from "./usageHandlers.js";

/** Maximum time that a stopping process waits for requests to end; longer than any handler takes. */
const drainTimeLimit: Milliseconds = 5_000;

/** Dependencies of an {@link OperatorServer}. */
export interface OperatorServerOptions extends ManifestHandlersOptions, StatusHandlersOptions {
    /** Address to listen on. */
    readonly address: string;
    readonly listeners: HttpListeners;
}

/** HTTP server of the operator API; every request needs the bearer token of an operator. */
export class OperatorServer implements AsyncDisposable {
    private readonly routes: ReadonlyMap<string, OperatorRoute>;
    private readonly server;
    private readonly drain: HttpServerDrain;

    constructor(private readonly options: OperatorServerOptions) {
        const maximumBodyBytes = (): number => maximumManifestBytes;
        this.server = options.listeners.create({ name: "operators", maximumBodyBytes }, (request, response) => {
            void this.handle(request, response);
        }).server;
        this.drain = new HttpServerDrain(this.server);
        const handlers = [
            new ManifestHandlers(options),
            new KeyHandlers(options),
            new StatusHandlers(options),
            new ExplainHandlers(options),
            new UsageHandlers(options),
            new MemberHandlers(options.members, options.eventLog),
            new EntryHandlers(options),
        ];
        const routes = handlers.flatMap(handler => handler.routes);
        this.routes = new Map(routes.map(route => [`${route.method} ${route.path}`, route]));
    }

    /** Starts listening; resolves with the bound address. */
    start(): Promise<string> {
        return listen(this.server, this.options.address);
    }

    /** Stops listening; resolves when all running requests have ended, or have been aborted because they take too long. */
    async [Symbol.asyncDispose](): Promise<void> {
        await this.drain.closeWithin(this.options.clock, drainTimeLimit);
    }

    private async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
        const operator = this.operatorOf(request);
        if (operator === undefined) {
            request.resume();
            sendFailure(response, failure("operatorUnauthorized"));
            return;
        }
        const method = request.method ?? "GET";
        const { pathname, searchParams } = new URL(request.url ?? "/", "http://control");
        const route = this.routes.get(`${method} ${pathname}`);
        if (route === undefined) {
            request.resume();
            sendFailure(response, failure("requestUnknown", { method, path: pathname }));
            return;
        }
        await route.handle({ request, response, operator, query: searchParams });
    }

    private operatorOf(request: IncomingMessage): string | undefined {
        const token = /^Bearer (.+)$/.exec(request.headers.authorization ?? "")?.[1];
        if (token === undefined) {
            return undefined;
        }
        const digest = keyDigest(token);
        return this.options.settings.operators.find(operator => operator.tokenDigest === digest)?.name;
    }
}
