import { createServer } from "node:http";
import type { IncomingHttpHeaders } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { relayHeaderNames } from "../../../src/connection/hosted/relayHeaders.js";
import { httpCall } from "../../../src/connection/httpCall.js";
import type { HttpCallResponse } from "../../../src/connection/httpCall.js";
import { DisposableStore } from "../../../src/util/disposableStore.js";
import { listen } from "../../../src/util/socketAddress.js";
import { bodyOf } from "../../connection/rawCaller.js";
import { describe, itSerially } from "../../describe.js";
import { documentOf } from "../../platform/testDocument.js";
import { createEndpointRecord } from "../../process/hosted/entry/testEndpoints.js";
import { CallServer } from "./callServer.js";
import { answerAs, makeRelayedCall, refuseAs, relayDocument } from "./scriptedRelays.js";
import type { RelayScript } from "./scriptedRelays.js";

/** Version of {@link relayDocument}. */
const version = 3;

/** Delay after which an entry applies a newer configuration, within the time that a call waits for one. */
const propagationDelay = 100;

const newerDocument = { ...relayDocument, version: version + 1 };
const documentWithoutRoutes = documentOf(version + 1, { routes: [] });

/** An entry that is asked by another one, and what its endpoint received. */
class AskedEntry implements AsyncDisposable {
    readonly received: IncomingHttpHeaders[] = [];
    private readonly store = new DisposableStore();

    static async start(store: DisposableStore): Promise<readonly [AskedEntry, CallServer]> {
        const asked = store.add(new AskedEntry());
        const endpoint = createServer((request, response) => {
            asked.received.push(request.headers);
            response.writeHead(200, { "gullhall-attempt-id": "call-1", "gullhall-response-signature": "proof" });
            response.end("id: 1\ndata: a\n\n");
        });
        asked.store.defer(() => {
            endpoint.close();
            endpoint.closeAllConnections();
        });
        const address = await listen(endpoint, "127.0.0.1:0");
        const record = createEndpointRecord("e0", { service: "desk", address, softwareVersion: "v7" });
        const entry = asked.store.add(await CallServer.start(relayDocument, [record]));
        entry.givePermit();
        return [asked, entry];
    }

    async [Symbol.asyncDispose](): Promise<void> {
        await this.store.dispose();
    }
}

/** Sends a call as another entry does. */
async function relay(
    { callerAddress }: CallServer,
    path: string,
    headers: Readonly<Record<string, string>>,
): Promise<HttpCallResponse> {
    const result = await httpCall({
        address: callerAddress,
        method: "POST",
        path,
        headers: {
            "host": "calls.example",
            "gullhall-attempt-id": "call-1",
            [relayHeaderNames.token]: "token",
            [relayHeaderNames.executions]: "0",
            [relayHeaderNames.team]: "clinic",
            ...headers,
        },
        body: "",
        timeout: 5_000,
    });
    return result.unwrap();
}

describe("entry that relays a call of another entry", () => {
    // Guards against calls that are judged by an older configuration than the one of the caller's entry (CONFIG).
    itSerially("waits for the version that admitted the call", async t => {
        await using store = new DisposableStore();
        const [asked, entry] = await AskedEntry.start(store);
        const response = relay(entry, "/bookings/a", { [relayHeaderNames.version]: String(version + 1) });
        await sleep(propagationDelay);
        t.is(asked.received.length, 0);
        entry.applyConfiguration(newerDocument, version + 1);
        t.is((await response).status, 200);
        t.is((await response).headers[relayHeaderNames.version], String(version + 1));
        const refused = await relay(entry, "/bookings/a", { [relayHeaderNames.version]: String(version + 2) });
        t.is(refused.status, 503);
        t.is(refused.headers[relayHeaderNames.source], "entry");
        t.is(asked.received.length, 1);
    });

    // Guards against calls of which two entries judge by two versions, one the key and one the route.
    itSerially("refuses a call that an older version has admitted", async t => {
        await using store = new DisposableStore();
        const [asked, entry] = await AskedEntry.start(store);
        entry.applyConfiguration(documentWithoutRoutes, version + 1);
        const refused = await relay(entry, "/bookings/a", { [relayHeaderNames.version]: String(version) });
        t.is(refused.status, 503);
        t.true(refused.body.toString().includes("relayVersionDiffers"));
        t.is(refused.headers[relayHeaderNames.version], String(version + 1));
        t.is(asked.received.length, 0);
    });

    // Guards against streams of two software versions, and against headers that entries of the build before pass on.
    itSerially("states what began a stream only to entries that state their version", async t => {
        await using store = new DisposableStore();
        const [asked, entry] = await AskedEntry.start(store);
        const stated = await relay(entry, "/summaries/a", { [relayHeaderNames.version]: String(version) });
        t.is(stated.status, 200);
        t.is(stated.headers[relayHeaderNames.source], "endpoint");
        const origin = String(stated.headers[relayHeaderNames.origin]);
        t.deepEqual(JSON.parse(decodeURIComponent(origin)), { service: "desk", softwareVersion: "v7" });
        const earlierBuild = await relay(entry, "/summaries/a", {});
        t.is(earlierBuild.status, 200);
        const names: readonly string[] = Object.values(relayHeaderNames);
        t.deepEqual(Object.keys(earlierBuild.headers).filter(name => names.includes(name)), []);
        for (const headers of asked.received) {
            t.deepEqual(Object.keys(headers).filter(name => names.includes(name)), []);
        }
    });

    // Guards against a stream that goes on at another software version than the one that began it.
    itSerially("continues a stream only at the version that began it", async t => {
        await using store = new DisposableStore();
        const [asked, entry] = await AskedEntry.start(store);
        const continuationOf = (softwareVersion: string): Promise<HttpCallResponse> =>
            relay(entry, "/summaries/a", {
                [relayHeaderNames.version]: String(version),
                [relayHeaderNames.executions]: "1",
                [relayHeaderNames.origin]: encodeURIComponent(JSON.stringify({ service: "desk", softwareVersion })),
                "last-event-id": "0",
            });
        t.is((await continuationOf("v6")).status, 503);
        t.is(asked.received.length, 0);
        t.is((await continuationOf("v7")).status, 200);
        t.is(asked.received[0]?.["last-event-id"], "0");
    });
});

describe("call whose relaying entry applies a newer configuration", () => {
    const differs = refuseAs(503, 1628, "relayVersionDiffers", "notRun", {
        [relayHeaderNames.source]: "entry",
        [relayHeaderNames.version]: String(version + 1),
    });

    /** Refuses a call for its version, and puts another configuration in force at the asking entry. */
    function differsFrom(document: object): RelayScript {
        return (response, headers, asker) => {
            setTimeout(() => {
                asker.applyConfiguration(document, version + 1);
            }, propagationDelay);
            differs(response, headers, asker);
        };
    }

    // Guards against callers that are refused because two entries learn of a change at different times.
    itSerially("is sent again by that configuration", async t => {
        const response = await makeRelayedCall("/bookings/a", [differsFrom(newerDocument), answerAs(200, "answer")]);
        t.is(bodyOf(response), "answer");
        const versions = response.requests.map(headers => headers[relayHeaderNames.version]);
        t.deepEqual(versions, [String(version), String(version + 1)]);
    });

    // Guards against calls that run although the newer configuration has withdrawn their route.
    itSerially("is refused by that configuration at the entry of its caller", async t => {
        const response = await makeRelayedCall("/bookings/a", [
            differsFrom(documentWithoutRoutes),
            answerAs(200, "answer"),
        ]);
        t.regex(response.head, /^HTTP\/1\.1 404 /);
        t.is(response.requests.length, 1);
    });

    // Guards against a call that runs after its caller was told that it has not, because the entry stops.
    itSerially("is not sent again once the entry has ended it", async t => {
        const script: RelayScript = (response, headers, asker) => {
            setTimeout(() => {
                asker.calls.forEach(call => {
                    call.endBecauseEntryStops();
                });
            }, propagationDelay / 2);
            differsFrom(newerDocument)(response, headers, asker);
        };
        const response = await makeRelayedCall("/bookings/a", [script, answerAs(200, "answer")]);
        t.regex(response.head, /^HTTP\/1\.1 503 /);
        t.is(response.requests.length, 1);
    });

    // Guards against a promise that is broken because the newer configuration never arrives.
    itSerially("is refused as not run if that configuration does not arrive", async t => {
        const response = await makeRelayedCall("/bookings/a", [differs]);
        t.regex(response.head, /^HTTP\/1\.1 503 /);
        t.regex(response.head, /\r\nretry-after: /i);
    });
});
