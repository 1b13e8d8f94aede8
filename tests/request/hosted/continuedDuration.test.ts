import { createServer } from "node:http";
import { shortId } from "../../../src/request/hosted/shortId.js";
import { DisposableStore } from "../../../src/util/disposableStore.js";
import { listen } from "../../../src/util/socketAddress.js";
import { describe, itSerially } from "../../describe.js";
import { documentOf } from "../../platform/testDocument.js";
import { createEndpointRecord } from "../../process/hosted/entry/testEndpoints.js";
import { callForStream } from "../../process/hosted/streamCaller.js";
import { CallServer } from "./callServer.js";

const routeTimeout = 4_000;

/** Time that a whole stream takes, in milliseconds. */
const wholeDuration = 500;

const route = {
    "name": "summaries",
    "host": "calls.example",
    "path-prefix": "/summaries/",
    "kind": "streaming",
    "timeout-ms": routeTimeout,
    "service": "desk",
    "attempts": 2,
    "resumable": true,
};

describe("call that continues a stream", () => {
    // Guards against the rest of a stream that began elsewhere being taken for the duration of a whole one.
    itSerially("does not tell how long streams of its route take", async t => {
        await using store = new DisposableStore();
        const endpoint = createServer((request, response) => {
            response.setHeader("gullhall-attempt-id", String(request.headers["gullhall-attempt-id"]));
            response.setHeader("gullhall-response-signature", "proof");
            const isRest = request.headers["last-event-id"] !== undefined;
            setTimeout(() => {
                response.end("id: 2\ndata: 2\n\n");
            }, isRest ? 0 : wholeDuration);
        });
        store.defer(() => {
            endpoint.close();
            endpoint.closeAllConnections();
        });
        const record = createEndpointRecord("e0", { service: "desk", address: await listen(endpoint, "127.0.0.1:0") });
        const server = store.add(await CallServer.start(documentOf(3, { routes: [route] }), [record]));
        server.givePermit();
        const { callerAddress, clock, context: { durations, streamOrigins, view } } = server;
        const team = view.current?.findTeam("key-1")?.name;
        const { service, softwareVersion } = record;
        streamOrigins.recordStart(team, shortId("first"), { service, softwareVersion }, routeTimeout, clock.now());
        const call = { callId: "second", resumes: "first", lastEventId: 1 };
        const { status, events, isComplete } = await callForStream(callerAddress, call);
        t.deepEqual({ status, events, isComplete }, { status: 200, events: ["2"], isComplete: true });
        t.is(durations.longest(route.name, clock.now()), undefined);
        const whole = await callForStream(callerAddress, { callId: "third" });
        t.is(whole.status, 200);
        t.not(durations.longest(route.name, clock.now()), undefined);
    });
});
