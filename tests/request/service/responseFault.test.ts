import { DisposableStore } from "../../../src/util/disposableStore.js";
import { ask, collect, open } from "../../connection/entry/testCaller.js";
import { TestEntry } from "../../connection/entry/testEntry.js";
import { faultyResponses } from "../../connection/faultyResponses.js";
import { startRawServer } from "../../connection/rawServer.js";
import { recordEvents } from "../../connection/recordedEvents.js";
import { describe, itSerially } from "../../describe.js";

const longLength = "Content-Length: 200000\r\n";

describe("log of a service call whose response is incomplete or invalid", () => {
    for (const { fault, title, bytes, ending } of faultyResponses("")) {
        // Guards against logs from which the reason of a failed call cannot be told.
        itSerially(`names the fault and the call (${fault}: ${title})`, async t => {
            await using store = new DisposableStore();
            const services = [await startRawServer(store, bytes, ending)];
            const entry = store.add(await TestEntry.start({ services }));
            const events = recordEvents(entry.state.eventLog, "endpointResponseFailed");
            const response = await ask(entry, { path: "/bookings/a", body: "{}" });
            t.like(events, [{ requestId: response.headers["x-request-id"], fault }]);
        });
    }

    for (
        const [fault, headers, ending] of [["reset", "", "resetWithData"], ["endedEarly", longLength, "end"]] as const
    ) {
        // Guards against the same where a part of the response has been forwarded.
        itSerially(`names the fault and the call of a long response (${fault})`, async t => {
            await using store = new DisposableStore();
            const bytes = `HTTP/1.1 200 OK\r\n${headers}\r\n${"x".repeat(100_000)}`;
            const services = [await startRawServer(store, bytes, ending)];
            const entry = store.add(await TestEntry.start({ services }));
            const events = recordEvents(entry.state.eventLog, "endpointResponseFailed");
            const message = await open(entry, { method: "GET", path: "/bookings/a" });
            t.false((await collect(message)).complete);
            t.like(events, [{ requestId: message.headers["x-request-id"], fault }]);
        });
    }
});
