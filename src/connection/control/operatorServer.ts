import { createServer } from "node:http";
import type { IncomingMessage, ServerResponse } from "node:http";
import { failure } from "../../resultCode/resultCode.js";
import { keyDigest } from "../../util/keyDigest.js";
import { listen } from "../../util/socketAddress.js";
import { answerFailure } from "../httpAnswer.js";
import { EntryCalls } from "./entryCalls.js";
import { ExplainCalls } from "./explainCalls.js";
import { KeyCalls } from "./keyCalls.js";
import { ManifestCalls } from "./manifestCalls.js";
import type { ManifestCallsOptions } from "./manifestCalls.js";
import { MemberCalls } from "./memberCalls.js";
import type { OperatorRoute } from "./operatorExchange.js";
import { StatusCalls } from "./statusCalls.js";
import type { StatusCallsOptions } from "./statusCalls.js";

import { UsageCalls } from "./usageCalls.js";

/** What the server uses. */
export interface OperatorServerOptions extends ManifestCallsOptions, StatusCallsOptions {
    /** Address to listen on. */
    readonly address: string;
}

/** Answers the operators' calls over HTTP; each call carries an operator's token. */
export class OperatorServer implements AsyncDisposable {
    private readonly routes: ReadonlyMap<string, OperatorRoute>;
    private readonly server = createServer((request, response) => {
        void this.answer(request, response);
    });

    constructor(private readonly options: OperatorServerOptions) {
        const groups = [
            new ManifestCalls(options),
            new KeyCalls(options),
            new StatusCalls(options),
            new ExplainCalls(options),
            new UsageCalls(options),
            new MemberCalls(options.members, options.eventLog),
            new EntryCalls(options),
        ];
        const routes = groups.flatMap(group => group.routes);
        this.routes = new Map(routes.map(route => [`${route.method} ${route.path}`, route]));
    }

    /** Starts to listen; resolves with the bound address. */
    start(): Promise<string> {
        return listen(this.server, this.options.address);
    }

    async [Symbol.asyncDispose](): Promise<void> {
        await new Promise<void>(resolve => {
            this.server.close(() => {
                resolve();
            });
            this.server.closeIdleConnections();
        });
    }

    private async answer(request: IncomingMessage, response: ServerResponse): Promise<void> {
        const operator = this.operatorOf(request);
        if (operator === undefined) {
            answerFailure(response, failure("operatorUnauthorized"));
            return;
        }
        const method = request.method ?? "GET";
        const { pathname, searchParams } = new URL(request.url ?? "/", "http://control");
        const route = this.routes.get(`${method} ${pathname}`);
        if (route === undefined) {
            answerFailure(response, failure("requestUnknown", { method, path: pathname }));
            return;
        }
        await route.answer({ request, response, operator, query: searchParams });
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
