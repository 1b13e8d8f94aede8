import type { ServerResponse } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { formatRequest } from "../../connection/leavingCaller.js";
import { bodyOf, looksComplete, sendRaw } from "../../connection/rawCaller.js";
import { describe, itSerially } from "../../describe.js";
import { documentOf } from "../../platform/testDocument.js";
import { HostedInstallation } from "./hostedInstallation.js";

/** Number of events of a stream; it takes longer than an entry's shutdown. */
const eventCount = 100;

const eventInterval = 100;

const document = documentOf(3, {
    routes: [{
        "name": "drafts",
        "host": "calls.example",
        "path-prefix": "/drafts/",
        "kind": "streaming",
        "timeout-ms": 20_000,
        "service": "desk",
    }],
});

/** How an endpoint delimits its stream. */
const framings = ["without a length", "in chunks"] as const;

/** Sends events for longer than the shutdown of an entry takes. */
async function sendEvents(response: ServerResponse): Promise<void> {
    for (let event = 1; event <= eventCount && !response.destroyed; event++) {
        response.write(`id: ${event}\ndata: part ${event}\n\n`);
        await sleep(eventInterval);
    }
    response.end();
}

describe("entry that shuts down", () => {
    for (const [index, framing] of framings.entries()) {
        for (const version of ["1.1", "1.0"]) {
            // Guards against streams that a planned stop cuts off and that look complete to callers (review/2).
            itSerially(`cuts off a stream ${framing} so that it looks incomplete (HTTP/${version})`, async t => {
                const network = 60 + 2 * index + (version === "1.1" ? 0 : 1);
                await using installation = await HostedInstallation.start(network, ({ headers }, response) => {
                    response.setHeader("content-type", "text/event-stream");
                    response.setHeader("gullhall-attempt-id", String(headers["gullhall-attempt-id"]));
                    response.setHeader("gullhall-response-signature", "proof");
                    if (framing === "without a length") {
                        response.shouldKeepAlive = false;
                        response.removeHeader("transfer-encoding");
                    }
                    void sendEvents(response);
                });
                await installation.submitUntilAccepted(document);
                await installation.callUntil(404, "/nowhere/");
                const headers = {
                    "host": "calls.example",
                    "api-key": "key-1",
                    "gullhall-attempt-id": "call-1",
                };
                const request = formatRequest("POST", "/drafts/a", headers).replace("HTTP/1.1", `HTTP/${version}`);
                const responsePromise = sendRaw(installation.callerAddress, request, 20_000);
                await sleep(500);
                await installation.stopEntry(100);
                const response = await responsePromise;
                const events = bodyOf(response).match(/data: part \d+/g) ?? [];
                t.regex(response.head, /^HTTP\/1\.1 200 /);
                t.true(events.length > 0 && events.length < eventCount);
                t.false(looksComplete(response), JSON.stringify({ ...response, framedBody: undefined }));
            });
        }
    }
});
