import { createServer } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { DisposableStore } from "../../../src/util/disposableStore.js";
import { listen } from "../../../src/util/socketAddress.js";
import { describe, itSerially } from "../../describe.js";
import { documentOf } from "../../platform/testDocument.js";
import { createEndpointRecord } from "../../process/hosted/entry/testEndpoints.js";
import { callForStream } from "../../process/hosted/streamCaller.js";
import { CallServer } from "./callServer.js";

/** Time for which the process is suspended; longer than an endpoint may be silent. */
const suspendedTime = 2_000;

const document = documentOf(3, {
    routes: [{
        "name": "summaries",
        "host": "calls.example",
        "path-prefix": "/summaries/",
        "kind": "streaming",
        "timeout-ms": 20_000,
        "service": "desk",
        "attempts": 2,
        "resumable": true,
    }],
});

/** Keeps the event loop of the process from running. */
function suspend(): void {
    Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, suspendedTime);
}

describe("stream at an entry that was suspended", () => {
    // Guards against the entry's own suspension being taken for the silence of its endpoints.
    itSerially("stays at its endpoint", async t => {
        await using store = new DisposableStore();
        const requests: string[] = [];
        const endpoint = createServer((request, response) => {
            requests.push(request.url ?? "");
            response.setHeader("gullhall-attempt-id", String(request.headers["gullhall-attempt-id"]));
            response.setHeader("gullhall-response-signature", "proof");
            response.write("id: 1\ndata: 1\n\n");
            setTimeout(() => {
                suspend();
                setTimeout(() => {
                    response.end("id: 2\ndata: 2\n\n");
                }, 100);
            }, 500);
        });
        store.defer(() => {
            endpoint.close();
            endpoint.closeAllConnections();
        });
        const address = await listen(endpoint, "127.0.0.1:0");
        const records = ["e0", "e1"].map(id => createEndpointRecord(id, { service: "desk", address }));
        const server = store.add(await CallServer.start(document, records));
        server.givePermit();
        const { status, events, isComplete } = await callForStream(server.callerAddress, {
            callId: "first",
            remainingTime: 20_000,
        });
        await sleep(50);
        t.deepEqual({ status, events, isComplete }, { status: 200, events: ["1", "2"], isComplete: true });
        t.is(requests.length, 1);
    });
});
