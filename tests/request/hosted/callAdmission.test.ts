import { once } from "node:events";
import { createServer } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { DisposableStore } from "../../../src/util/disposableStore.js";
import { listen } from "../../../src/util/socketAddress.js";
import { disconnect, disconnections, formatRequest, openConnection } from "../../connection/leavingCaller.js";
import { describe, it } from "../../describe.js";
import { documentOf } from "../../platform/testDocument.js";
import { createEndpointRecord } from "../../process/hosted/entry/testEndpoints.js";
import { CallServer } from "./callServer.js";

const document = documentOf(3, {
    routes: [{
        "name": "bookings",
        "host": "calls.example",
        "path-prefix": "/bookings/",
        "kind": "unsafe",
        "timeout-ms": 1_200,
        "service": "desk",
    }],
});

describe("admitCall", () => {
    for (const disconnection of disconnections) {
        for (const body of ["", "body"]) {
            // Guards against calls that are sent when the permit arrives together with the end of their connection.
            it(`does not admit a call whose caller left during the wait for a permit (${disconnection}, "${body}")`, async t => {
                await using store = new DisposableStore();
                const receivedCalls: unknown[] = [];
                const endpoint = createServer((request, response) => {
                    receivedCalls.push(request.headers["gullhall-attempt-id"]);
                    request.resume();
                    response.end();
                });
                store.defer(() => {
                    endpoint.close();
                    endpoint.closeAllConnections();
                });
                const address = await listen(endpoint, "127.0.0.1:0");
                const record = createEndpointRecord("e1", { service: "desk", address });
                const entry = store.add(await CallServer.start(document, [record]));
                const [leaving, staying] = [
                    await openConnection(entry.callerAddress),
                    await openConnection(entry.callerAddress),
                ];
                for (const caller of [leaving, staying]) {
                    const id = caller === leaving ? "left" : "stayed";
                    const headers = { "host": "calls.example", "api-key": "key-1", "gullhall-attempt-id": id };
                    caller.write(formatRequest("POST", "/bookings/a", headers, body));
                }
                await sleep(100);
                disconnect(leaving, disconnection);
                entry.givePermit();
                await once(staying, "data");
                staying.destroy();
                t.deepEqual(receivedCalls, ["stayed"]);
            });
        }
    }
});
