import { createServer } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { httpCall } from "../../../src/connection/httpCall.js";
import { DisposableStore } from "../../../src/util/disposableStore.js";
import { listen } from "../../../src/util/socketAddress.js";
import { EndlessEndpoint } from "../../connection/endlessEndpoint.js";
import { describe, itSerially } from "../../describe.js";
import { createEndpointRecord } from "../../process/hosted/entry/testEndpoints.js";
import { CallServer } from "./callServer.js";
import { relayDocument } from "./scriptedRelays.js";

/** Number of calls at the same time, about half of which are first sent to the entry that sends bytes without end. */
const callCount = 8;

/** Buffers that may be held, in bytes: far more than the limits of all calls together. */
const maximumHeldBytes = 32 * 1024 * 1024;

const proof = "Gullhall-Attempt-Id: call-1\r\nGullhall-Response-Signature: proof\r\n";
const chunkedHead = (status: string): string => `HTTP/1.1 ${status}\r\n${proof}Transfer-Encoding: chunked\r\n\r\n`;

/** What the other entry sends: a beginning, then the same bytes without end. */
const ways: Readonly<Record<string, readonly [path: string, beginning: string, repeated: string]>> = {
    "no head": ["/look-ups/a", "", "x"],
    "one header": ["/look-ups/a", "HTTP/1.1 200 OK\r\nx: ", "x"],
    "many headers": ["/look-ups/a", "HTTP/1.1 200 OK\r\n", "x: x\r\n"],
    "interim responses": ["/look-ups/a", "", "HTTP/1.1 103 Early Hints\r\n\r\n"],
    "the body of an error": ["/look-ups/a", chunkedHead("500 Failed"), "1\r\nx\r\n"],
    "the size of a chunk": ["/summaries/a", chunkedHead("200 OK"), "0"],
    "one event of a stream": ["/summaries/a", chunkedHead("200 OK"), "1\r\nx\r\n"],
};

function waitUntil(condition: () => boolean): Promise<void> {
    return condition() ? Promise.resolve() : sleep(20).then(() => waitUntil(condition));
}

describe("call through another entry that sends bytes without end", () => {
    for (const [title, [path, beginning, repeated]] of Object.entries(ways)) {
        // Guards against an entry that runs out of memory because another one passes on an endpoint's endless bytes (LOST).
        itSerially(`is answered, and the connection closed, with bounded memory (${title})`, async t => {
            await using store = new DisposableStore();
            const endless = await EndlessEndpoint.start(store, { beginning, repeated });
            const sound = createServer((request, response) => {
                request.resume();
                response.setHeader("gullhall-attempt-id", "call-1");
                response.setHeader("gullhall-response-signature", "proof");
                response.end("id: 1\ndata: sound\n\n");
            });
            store.defer(() => {
                sound.close();
                sound.closeAllConnections();
            });
            const endpoints = [createEndpointRecord("e0", { service: "desk", address: "127.0.0.1:1" })];
            const asker = store.add(await CallServer.start(relayDocument, endpoints));
            asker.givePermit();
            await asker.setCutOff(true);
            asker.context.relays.applyOffers([
                { entry: "endless", address: endless.address, token: "token" },
                { entry: "sound", address: await listen(sound, "127.0.0.1:0"), token: "token" },
            ], asker.clock.now());
            const heldBefore = process.memoryUsage().external;
            let heldBytes = 0;
            const gauge = setInterval(() => {
                heldBytes = Math.max(heldBytes, process.memoryUsage().external - heldBefore);
            }, 10);
            const responses = await Promise.all(Array.from(Array(callCount), () =>
                httpCall({
                    address: asker.callerAddress,
                    method: "POST",
                    path,
                    headers: { "host": "calls.example", "api-key": "key-1", "gullhall-attempt-id": "call-1" },
                    body: "",
                    timeout: 10_000,
                })));
            await waitUntil(() => endless.isAbandoned);
            clearInterval(gauge);
            t.true(endless.requests > 0);
            for (const response of responses) {
                t.is(response.unwrap().status, 200);
                t.is(response.unwrap().body.toString(), "id: 1\ndata: sound\n\n");
            }
            t.true(heldBytes < maximumHeldBytes, `${heldBytes} bytes were held`);
        });
    }
});
