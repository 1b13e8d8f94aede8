import { DisposableStore } from "../../../src/util/disposableStore.js";
import { ask, codeOf } from "../../connection/entry/testCaller.js";
import { TestEntry } from "../../connection/entry/testEntry.js";
import { invalidHeads } from "../../connection/invalidHeads.js";
import { startRawServer } from "../../connection/rawServer.js";
import { describe, itSerially } from "../../describe.js";

const switchingProtocols = {
    title: "status 101 that was not asked for",
    bytes: "HTTP/1.1 101 Switching Protocols\r\nUpgrade: other\r\nConnection: Upgrade\r\n\r\nbody",
};

describe("response of a service whose head is no HTTP", () => {
    for (const { title, bytes } of [...invalidHeads(""), switchingProtocols]) {
        // Guards against callers that get such a head, or whose connection is closed without a response (MIXED).
        itSerially(`is replaced by a failure with an unknown outcome (${title})`, async t => {
            await using store = new DisposableStore();
            const entry = store.add(await TestEntry.start({ services: [await startRawServer(store, bytes, "end")] }));
            const response = await ask(entry, { path: "/bookings/a", body: "{}" });
            t.deepEqual([codeOf(response), response.headers["x-outcome"]], ["endpointFailed", "unknown"]);
        });
    }
});
