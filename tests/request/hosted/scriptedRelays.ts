import { createServer } from "node:http";
import type { IncomingHttpHeaders, ServerResponse } from "node:http";
import { DisposableStore } from "../../../src/util/disposableStore.js";
import { listen } from "../../../src/util/socketAddress.js";
import { formatRequest } from "../../connection/leavingCaller.js";
import { sendRaw } from "../../connection/rawCaller.js";
import type { RawResponse } from "../../connection/rawCaller.js";
import { documentOf } from "../../platform/testDocument.js";
import { createEndpointRecord } from "../../process/hosted/entry/testEndpoints.js";
import { CallServer } from "./callServer.js";
import type { HttpVersion } from "./scriptedCall.js";

/** Number of other entries that may be asked. */
const relayCount = 3;

/** Time after which a connection counts as kept, in milliseconds. */
const longestCall = 1_500;

/** Upper bound for a call whose connection is closed behind its response, in milliseconds. */
const longestClosedCall = 10_000;

/** An address on which nothing listens: port 1 (tcpmux). */
const unreachableAddress = "127.0.0.1:1";

function routeOf(name: string, kind: string, attempts: number): object {
    return {
        name,
        "host": "calls.example",
        "path-prefix": `/${name}/`,
        kind,
        "timeout-ms": 3_000,
        "service": "desk",
        attempts,
        "resumable": kind === "streaming",
    };
}

/** A configuration with routes of each kind. */
export const relayDocument = documentOf(3, {
    routes: [
        routeOf("look-ups", "safe", 3),
        routeOf("bookings", "unsafe", 1),
        routeOf("summaries", "streaming", 3),
    ],
});

/** What one of the other entries does with a call; `asker` is the entry that sent it. */
export type RelayScript = (response: ServerResponse, headers: IncomingHttpHeaders, asker: CallServer) => void;

/** Refuses a call as an entry does. */
export function refuseAs(
    status: number,
    number: number,
    type: string,
    outcome: string,
    headers: Readonly<Record<string, string>> = {},
): RelayScript {
    return response => {
        const body = JSON.stringify({ error: { code: `GH${number}`, type, message: "refused by an entry", outcome } });
        response.writeHead(status, { "content-type": "application/json", "x-outcome": outcome, ...headers });
        response.end(body);
    };
}

const proofHeaders = { "gullhall-attempt-id": "call-1", "gullhall-response-signature": "proof" };

/** Responds as an endpoint does whose response the entry passes on. */
export function answerAs(status: number, body: string): RelayScript {
    return response => {
        response.writeHead(status, proofHeaders);
        response.end(body);
    };
}

/** Begins a stream, and ends its connection before the stream is complete. */
export function breakOffAfter(text: string): RelayScript {
    return response => {
        response.writeHead(200, { ...proofHeaders, "content-type": "text/event-stream" });
        response.write(text, () => {
            setTimeout(() => response.socket?.destroy(), 20);
        });
    };
}

/** What the caller received, and the headers of the requests that reached other entries. */
export interface RelayedResponse extends RawResponse {
    readonly requests: readonly IncomingHttpHeaders[];
}

/**
 * Makes one call at an entry that is cut off from all endpoints. The other entries follow the scripts in the order in
 * which calls reach them, and the last script from then on.
 */
export async function makeRelayedCall(
    path: string,
    scripts: readonly RelayScript[],
    version: HttpVersion = "1.1",
): Promise<RelayedResponse> {
    await using store = new DisposableStore();
    const records = ["e0", "e1"].map(id => createEndpointRecord(id, { service: "desk", address: unreachableAddress }));
    const entry = store.add(await CallServer.start(relayDocument, records));
    const requests: IncomingHttpHeaders[] = [];
    const offers: { readonly entry: string; readonly address: string; readonly token: string; }[] = [];
    for (let index = 0; index < relayCount; index++) {
        const server = createServer((request, response) => {
            request.resume();
            request.once("end", () => {
                const script = scripts[Math.min(requests.length, scripts.length - 1)];
                requests.push(request.headers);
                script?.(response, request.headers, entry);
            });
        });
        store.defer(() => {
            server.close();
            server.closeAllConnections();
        });
        offers.push({ entry: `entry-${index}`, address: await listen(server, "127.0.0.1:0"), token: `token-${index}` });
    }
    entry.givePermit();
    await entry.setCutOff(true);
    entry.context.relays.applyOffers(offers, entry.clock.now());
    const headers = {
        "host": "calls.example",
        "api-key": "key-1",
        "gullhall-attempt-id": "call-1",
        "gullhall-deadline-remaining": "3000",
    };
    const request = formatRequest("POST", path, headers).replace("HTTP/1.1", `HTTP/${version}`);
    const longestMilliseconds = version === "1.0" ? longestClosedCall : longestCall;
    return { ...await sendRaw(entry.callerAddress, request, longestMilliseconds), requests };
}
