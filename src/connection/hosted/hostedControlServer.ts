import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { inflateRawSync } from "node:zlib";
import { callerFailureDomain, resolutionBody, servedCalls } from "../../../platform/servedCalls.js";
import type { EventLog } from "../../logEvent/eventLog.js";
import type { DocumentService } from "../../process/hosted/control/documentService.js";
import type { EntryRegistry } from "../../process/hosted/control/entryRegistry.js";
import { failure } from "../../resultCode/resultCode.js";
import type { Clock, Milliseconds } from "../../util/clock.js";
import { readBody } from "../httpBody.js";
import { createRetryAfterHeader, sendFailure, sendJson } from "../httpResponse.js";
import type { HttpListeners } from "../server/httpListeners.js";
import { reserveMemory } from "../server/requestMemory.js";
import { handleHeldCallsRequest, heldCallsPath } from "./heldCallsServer.js";
import type { HeldCallsContext } from "./heldCallsServer.js";

/**
 * Maximum size of a configuration document, in bytes: four times the largest one that operators are specified to send.
 */
const maximumDocumentBytes = 16 * 1024 * 1024;

/** `retry-after` time of a request for which there is too little memory. */
const memoryRetryAfter: Milliseconds = 1_000;

/** Time to live of a resolution response: short, so that callers soon stop using a failed entry. */
const defaultTimeToLive: Milliseconds = 2_000;

/** Dependencies of the server. */
export interface HostedControlServerContext {
    readonly documents: DocumentService;
    readonly registry: EntryRegistry;
    /** Upper bound of the time to live of resolution responses, by the settings of the installation. */
    readonly maximumTimeToLive: Milliseconds;
    readonly clock: Clock;
    readonly eventLog: EventLog;
    readonly heldCalls: HeldCallsContext;
    readonly listeners: HttpListeners;
}

/** Creates the HTTP server on which operators submit and fetch configurations, and callers ask which entries to use. */
export function createHostedControlServer(context: HostedControlServerContext): Server {
    const maximumBodyBytes = (): number => maximumDocumentBytes;
    return context.listeners.create({ name: "operators", maximumBodyBytes }, (request, response) => {
        handleRequest(request, response, context).catch((error: unknown) => {
            context.eventLog.write("taskFailed", { task: "operatorCall", reason: String(error) });
            response.destroy();
        });
    }).server;
}

async function handleRequest(
    request: IncomingMessage,
    response: ServerResponse,
    serverContext: HostedControlServerContext,
): Promise<void> {
    const target = request.url ?? "/";
    const path = target.split("?", 1)[0] ?? "/";
    const isRequestFor = (call: { readonly method: string; readonly path: string; }): boolean =>
        request.method === call.method && path === call.path;
    if (isRequestFor(servedCalls.replaceConfiguration)) {
        await replaceConfiguration(request, response, serverContext.documents);
        return;
    }
    if (path === heldCallsPath && (request.method === "GET" || request.method === "DELETE")) {
        await handleHeldCallsRequest(request, response, serverContext.heldCalls);
        return;
    }
    request.resume();
    if (isRequestFor(servedCalls.resolution)) {
        respondToResolution(target, response, serverContext);
    }
    else if (isRequestFor(servedCalls.fetchConfiguration)) {
        await fetchConfiguration(request, response, serverContext.documents);
    }
    else {
        sendFailure(response, failure("requestUnknown", { method: request.method ?? "?", path }));
    }
}

function respondToResolution(
    target: string,
    response: ServerResponse,
    serverContext: HostedControlServerContext,
): void {
    const addresses = serverContext.registry.callerAddresses(callerFailureDomain(target), serverContext.clock.now());
    if (addresses.length === 0) {
        sendFailure(response, failure("noEntryKnown"));
        return;
    }
    const timeToLive = Math.min(defaultTimeToLive, serverContext.maximumTimeToLive);
    sendJson(response, 200, resolutionBody(addresses, timeToLive));
}

async function replaceConfiguration(
    request: IncomingMessage,
    response: ServerResponse,
    documents: DocumentService,
): Promise<void> {
    const body = await readBody(request, maximumDocumentBytes);
    if (body.err) {
        sendFailure(response, body.val);
        return;
    }
    const outcome = await documents.submit(body.val);
    switch (outcome.kind) {
        case "accepted":
            sendJson(response, 200, { version: outcome.version });
            break;
        case "invalid":
            sendFailure(response, failure("documentInvalid", { reason: outcome.reason }));
            break;
        case "otherLeader":
            sendJson(response, 307, {}, { location: `http://${outcome.operatorAddress}${request.url ?? "/"}` });
            break;
        case "unavailable":
            sendFailure(response, failure("quorumUnavailable"));
            break;
    }
}

async function fetchConfiguration(
    request: IncomingMessage,
    response: ServerResponse,
    documents: DocumentService,
): Promise<void> {
    const body = await documents.fetch();
    if (body === undefined) {
        sendFailure(response, failure("quorumUnavailable"));
        return;
    }
    const bytes = inflateRawSync(body);
    if (!reserveMemory(request, bytes.length)) {
        sendFailure(response, failure("requestMemoryExhausted"), createRetryAfterHeader(memoryRetryAfter));
        return;
    }
    response.writeHead(200, { "content-type": "application/json", "content-length": bytes.length });
    response.end(bytes);
}
