import { createServer } from "node:net";
import type { Socket } from "node:net";
import { DisposableStore } from "../../../src/util/disposableStore.js";
import { listen } from "../../../src/util/socketAddress.js";
import { formatRequest, openConnection } from "../../connection/leavingCaller.js";
import { describe, itSerially } from "../../describe.js";
import { documentOf } from "../../platform/testDocument.js";
import { createEndpointRecord } from "../../process/hosted/entry/testEndpoints.js";
import { CallServer } from "./callServer.js";

function routeOf(name: string, kind: string, attempts: number, resumable: boolean): object {
    return {
        name,
        "host": "calls.example",
        "path-prefix": `/${name}/`,
        kind,
        "timeout-ms": 3_000,
        "service": "desk",
        attempts,
        resumable,
    };
}

const document = documentOf(3, {
    routes: [
        routeOf("look-ups", "safe", 2, false),
        routeOf("bookings", "unsafe", 1, false),
        routeOf("drafts", "streaming", 1, false),
        routeOf("summaries", "streaming", 2, true),
    ],
});

const proof = "Gullhall-Attempt-Id: call-1\r\nGullhall-Response-Signature: proof\r\n";
const unframed = `HTTP/1.1 200 OK\r\n${proof}Connection: close\r\n\r\n`;
const chunked = `HTTP/1.1 200 OK\r\n${proof}Transfer-Encoding: chunked\r\n\r\n`;

const firstEvent = "id: 1\ndata: a\n\n";
const secondEvent = "id: 2\ndata: b\n\n";

function chunkOf(text: string): string {
    return `${text.length.toString(16)}\r\n${text}\r\n`;
}

function withLength(body: string): string {
    return `HTTP/1.1 200 OK\r\n${proof}Content-Length: ${body.length}\r\n\r\n${body}`;
}

/** What an endpoint sends, and how it ends its connection then. */
interface EndpointScript {
    readonly bytes: string;
    readonly ending: "end" | "reset";
}

/** What the caller received, and how its connection ended; `open`: it is kept. */
interface ReceivedResponse {
    readonly head: string;
    readonly body: string;
    readonly ending: "end" | "reset" | "open";
    /** Headers of the requests that reached endpoints. */
    readonly requests: readonly string[];
}

function finish(socket: Socket, ending: EndpointScript["ending"]): void {
    if (ending === "end") {
        socket.end();
        return;
    }
    // What was written before must arrive before the reset.
    setTimeout(() => {
        socket.resetAndDestroy();
    }, 50);
}

/** Makes one call at an entry whose endpoints follow the scripts, in the order in which calls reach them. */
async function call(path: string, ...scripts: readonly EndpointScript[]): Promise<ReceivedResponse> {
    const store = new DisposableStore();
    const requests: string[] = [];
    const server = createServer(socket => {
        socket.on("error", () => undefined);
        socket.once("data", bytes => {
            const script = scripts[requests.length];
            requests.push(bytes.toString());
            socket.write(script?.bytes ?? "");
            finish(socket, script?.ending ?? "reset");
        });
    });
    store.defer(() => {
        server.close();
    });
    const address = await listen(server, "127.0.0.1:0");
    const records = Array.from(
        scripts.keys(),
        index => createEndpointRecord(`e${index}`, { service: "desk", address }),
    );
    const entry = store.add(await CallServer.start(document, records));
    entry.givePermit();
    const caller = await openConnection(entry.callerAddress);
    let received = "";
    let ending: ReceivedResponse["ending"] = "open";
    caller.on("data", (bytes: Buffer) => received += bytes.toString());
    caller.once("end", () => ending = "end");
    caller.once("error", () => ending = "reset");
    const headers = {
        "host": "calls.example",
        "api-key": "key-1",
        "gullhall-attempt-id": "call-1",
        "gullhall-deadline-remaining": "3000",
    };
    caller.write(formatRequest("POST", path, headers));
    await new Promise(resolve => {
        caller.once("close", resolve);
        setTimeout(resolve, 700);
    });
    caller.destroy();
    await store.dispose();
    const [head = "", ...rest] = received.split("\r\n\r\n");
    return { head, body: rest.join("\r\n\r\n"), ending, requests };
}

describe("response without a length or chunks", () => {
    // Guards against whole answers that are lost, and against broken ones that look whole.
    itSerially("is whole if its connection ends in order, and ends the caller's connection in order", async t => {
        for (const path of ["/look-ups/a", "/bookings/a"]) {
            const { head, body, ending } = await call(path, { bytes: `${unframed}answer`, ending: "end" });
            t.regex(head, /^HTTP\/1\.1 200 /);
            t.notRegex(head, /content-length|transfer-encoding/i);
            t.is(body, "answer");
            t.is(ending, "end");
        }
    });

    itSerially("is broken if its connection is reset: repeated where that is safe, else failed", async t => {
        const broken: EndpointScript = { bytes: `${unframed}ans`, ending: "reset" };
        const repeated = await call("/look-ups/a", broken, { bytes: `${unframed}answer`, ending: "end" });
        t.is(repeated.body, "answer");
        t.is(repeated.ending, "end");
        const failed = await call("/bookings/a", broken, { bytes: `${unframed}answer`, ending: "end" });
        t.regex(failed.head, /^HTTP\/1\.1 502 /);
        t.is(failed.requests.length, 1);
    });

    itSerially("may be a stream that ends in order", async t => {
        const { body, ending } = await call("/drafts/a", {
            bytes: unframed + firstEvent + secondEvent,
            ending: "end",
        });
        t.is(body, firstEvent + secondEvent);
        t.is(ending, "end");
    });

    itSerially("resets the caller's connection if it is a stream whose connection is reset", async t => {
        const { body, ending } = await call("/drafts/a", { bytes: unframed + firstEvent, ending: "reset" });
        t.is(body, firstEvent);
        t.is(ending, "reset");
    });
});

describe("stream that ends inside an event", () => {
    const incomplete = `${firstEvent}id: 2\nda`;
    const responses: Readonly<Record<string, string>> = {
        "without a length": unframed + incomplete,
        "with a length": withLength(incomplete),
        "in chunks": `${chunked}${chunkOf(incomplete)}0\r\n\r\n`,
    };
    for (const [framing, bytes] of Object.entries(responses)) {
        // Guards against streams that were broken off inside an event and are ended as if they were whole.
        itSerially(`is not ended as if it were whole (${framing})`, async t => {
            const { body, ending } = await call("/drafts/a", { bytes, ending: "end" });
            t.true(body.includes(firstEvent));
            t.false(body.includes("id: 2"), "no part of the broken event");
            t.false(body.endsWith("0\r\n\r\n"));
            t.is(ending, framing === "without a length" ? "reset" : "end");
        });

        itSerially(`is resumed behind its last whole event where the route allows it (${framing})`, async t => {
            const rest = framing === "without a length"
                ? unframed + secondEvent
                : `${chunked}${chunkOf(secondEvent)}0\r\n\r\n`;
            const { body, ending, requests } = await call(
                "/summaries/a",
                { bytes, ending: "end" },
                { bytes: rest, ending: "end" },
            );
            t.regex(requests[1] ?? "", /last-event-id: 1\r\n/i);
            t.is(body.replace(/[0-9a-f]+\r\n|\r\n/g, "").includes(firstEvent + secondEvent), true, body);
            t.is(ending, framing === "without a length" ? "end" : "open");
        });
    }

    itSerially("is whole if its lines end with carriage return and line feed, and so does its last event", async t => {
        const events = (firstEvent + secondEvent).replaceAll("\n", "\r\n");
        const { body, ending } = await call("/drafts/a", { bytes: unframed + events, ending: "end" });
        t.is(body, events);
        t.is(ending, "end");
    });
});
