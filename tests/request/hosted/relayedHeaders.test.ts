import { createServer } from "node:http";
import { relayHeaderNames } from "../../../src/connection/hosted/relayHeaders.js";
import { httpCall } from "../../../src/connection/httpCall.js";
import { DisposableStore } from "../../../src/util/disposableStore.js";
import { listen } from "../../../src/util/socketAddress.js";
import { describe, it } from "../../describe.js";
import { createEndpointRecord } from "../../process/hosted/entry/testEndpoints.js";
import { CallServer } from "./callServer.js";
import { relayDocument } from "./scriptedRelays.js";

describe("relayed call", () => {
    // Guards against a call within the limit that is refused because of the headers that the asking entry has added.
    it("may have headers of the size that callers may send, besides those of the asking entry", async t => {
        await using store = new DisposableStore();
        const endpoint = createServer({ maxHeaderSize: 64 * 1024 }, (request, response) => {
            request.resume();
            response.writeHead(200, { "gullhall-attempt-id": "call-1", "gullhall-response-signature": "proof" });
            response.end("id: 1\ndata: a\n\n");
        });
        store.defer(() => {
            endpoint.close();
            endpoint.closeAllConnections();
        });
        const address = await listen(endpoint, "127.0.0.1:0");
        const record = createEndpointRecord("e0", { service: "desk", address });
        const entry = store.add(await CallServer.start(relayDocument, [record]));
        entry.givePermit();
        const result = await httpCall({
            address: entry.callerAddress,
            method: "POST",
            path: "/look-ups/a",
            headers: {
                "host": "calls.example",
                "gullhall-attempt-id": "call-1",
                "x-filling": "x".repeat(16_300),
                [relayHeaderNames.token]: "token",
                [relayHeaderNames.executions]: "0",
                [relayHeaderNames.team]: "clinic",
            },
            timeout: 5_000,
        });
        t.is(result.unwrap().status, 200);
    });
});
