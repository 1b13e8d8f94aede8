import { relayHeaderNames } from "../../../src/connection/hosted/relayHeaders.js";
import { DisposableStore } from "../../../src/util/disposableStore.js";
import { formatRequest } from "../../connection/leavingCaller.js";
import { bodyOf, isChunked, looksComplete, sendRaw } from "../../connection/rawCaller.js";
import type { RawResponse } from "../../connection/rawCaller.js";
import { startRawServer } from "../../connection/rawServer.js";
import { describe, itSerially } from "../../describe.js";
import { createEndpointRecord } from "../../process/hosted/entry/testEndpoints.js";
import { CallServer } from "./callServer.js";
import { unframedHead } from "./scriptedCall.js";
import { relayDocument } from "./scriptedRelays.js";

/** Time after which a connection counts as kept, in milliseconds. */
const longestCall = 1_000;

/** Makes a call that an endpoint answers without a length. */
async function call(headers: Readonly<Record<string, string>>): Promise<RawResponse> {
    await using store = new DisposableStore();
    const address = await startRawServer(store, `${unframedHead}whole`, "end");
    const records = [createEndpointRecord("e0", { service: "desk", address })];
    const entry = store.add(await CallServer.start(relayDocument, records));
    entry.givePermit();
    const request = formatRequest("POST", "/bookings/a", {
        "host": "calls.example",
        "gullhall-attempt-id": "call-1",
        ...headers,
    });
    return await sendRaw(entry.callerAddress, request, longestCall);
}

describe("short response without a length", () => {
    // Guards against a response between entries whose end cannot be told from the end of the entry that relays it.
    itSerially("is sent in chunks to the entry that asked for it", async t => {
        const response = await call({
            [relayHeaderNames.token]: "token",
            [relayHeaderNames.executions]: "0",
            [relayHeaderNames.team]: "clinic",
            [relayHeaderNames.version]: "3",
        });
        t.true(isChunked(response));
        t.deepEqual([bodyOf(response), looksComplete(response)], ["whole", true]);
    });

    itSerially("ends the connection of a caller", async t => {
        const response = await call({ "api-key": "key-1" });
        t.false(isChunked(response));
        t.deepEqual([bodyOf(response), response.ending], ["whole", "end"]);
    });
});
