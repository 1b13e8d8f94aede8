import { DisposableStore } from "../../../src/util/disposableStore.js";
import { faultyResponses } from "../../connection/faultyResponses.js";
import { formatRequest } from "../../connection/leavingCaller.js";
import { sendRaw } from "../../connection/rawCaller.js";
import { startRawServer } from "../../connection/rawServer.js";
import { recordEvents } from "../../connection/recordedEvents.js";
import { describe, itSerially } from "../../describe.js";
import { createEndpointRecord } from "../../process/hosted/entry/testEndpoints.js";
import { CallServer } from "./callServer.js";
import { relayDocument } from "./scriptedRelays.js";

const identity = "Gullhall-Attempt-Id: call-1\r\nGullhall-Response-Signature: proof\r\n";

const request = formatRequest("POST", "/bookings/a", {
    "host": "calls.example",
    "api-key": "key-1",
    "gullhall-attempt-id": "call-1",
}).replace("HTTP/1.1", "HTTP/1.0");

/** Upper bound for a call whose connection is closed behind its response, in milliseconds. */
const longestCall = 10_000;

describe("log of an attempt whose response is incomplete or invalid", () => {
    for (const { fault, title, bytes, ending } of faultyResponses(identity)) {
        // Guards against logs from which the reason of a failed call cannot be told.
        itSerially(`names the fault and the call (${fault}: ${title})`, async t => {
            await using store = new DisposableStore();
            const address = await startRawServer(store, bytes, ending);
            const records = [createEndpointRecord("e0", { service: "desk", address })];
            const entry = store.add(await CallServer.start(relayDocument, records));
            const events = recordEvents(entry.context.eventLog, "callAttemptFailed");
            entry.givePermit();
            t.regex((await sendRaw(entry.callerAddress, request, longestCall)).head, /^HTTP\/1\.1 502 /);
            t.like(events, [{ requestId: "call-1", endpoint: "e0", outcome: "lost", fault }]);
        });
    }
});
