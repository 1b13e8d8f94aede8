import { createServer } from "node:net";
import type { Server, Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { DisposableStore } from "../../../src/util/disposableStore.js";
import { listen } from "../../../src/util/socketAddress.js";
import { formatRequest, openConnection } from "../../connection/leavingCaller.js";
import { bodyOf, isChunked, looksComplete } from "../../connection/rawCaller.js";
import { describe, itSerially } from "../../describe.js";
import { documentOf } from "../../platform/testDocument.js";
import { createEndpointRecord } from "../../process/hosted/entry/testEndpoints.js";
import { CallServer } from "./callServer.js";
import { chunkedHead, chunkOf, firstEvent, makeCall, secondEvent, unframedHead } from "./scriptedCall.js";

const document = documentOf(3, {
    routes: ["drafts", "exports"].map(name => ({
        "name": name,
        "host": "calls.example",
        "path-prefix": `/${name}/`,
        "kind": name === "drafts" ? "streaming" : "unsafe",
        "timeout-ms": 3_000,
        "service": "desk",
    })),
});

/** Longer than the part of a body that an entry buffers before it forwards any. */
const longPart = "x".repeat(100_000);

/** A call whose endpoint has sent a part of the body and keeps its connection open. */
class RunningCall implements AsyncDisposable {
    private readonly store = new DisposableStore();
    private server: Server | undefined;
    private endpointSocket: Socket | undefined;
    private received = "";

    static async start(path: string, bytes: string): Promise<RunningCall> {
        const call = new RunningCall();
        const server = createServer(socket => {
            socket.on("error", () => undefined);
            // A connection that only probes the endpoint sends nothing.
            socket.once("data", () => {
                call.endpointSocket = socket;
                socket.write(bytes);
            });
        });
        call.server = server;
        call.store.defer(() => {
            server.close();
            call.endpointSocket?.destroy();
        });
        const address = await listen(server, "127.0.0.1:0");
        const records = [createEndpointRecord("e0", { service: "desk", address })];
        const entry = call.store.add(await CallServer.start(document, records));
        entry.givePermit();
        const caller = await openConnection(entry.callerAddress);
        call.store.defer(() => {
            caller.destroy();
        });
        caller.on("data", (received: Buffer) => call.received += received.toString("latin1"));
        const headers = { "host": "calls.example", "api-key": "key-1", "gullhall-attempt-id": "call-1" };
        caller.write(formatRequest("POST", path, headers));
        await sleep(300);
        return call;
    }

    /** What the caller has received so far, as if its connection had ended in order now. */
    get receivedSoFar(): Parameters<typeof looksComplete>[0] {
        const [head = "", ...rest] = this.received.split("\r\n\r\n");
        return { head, framedBody: rest.join("\r\n\r\n"), ending: "end" };
    }

    /** Ends the endpoint's connection in order. */
    async endResponse(): Promise<void> {
        this.endpointSocket?.end();
        await sleep(200);
    }

    /** Ends the endpoint's process, upon which its host refuses connections and ends the open ones in order. */
    async endEndpoint(): Promise<void> {
        this.server?.close();
        await this.endResponse();
    }

    async [Symbol.asyncDispose](): Promise<void> {
        await this.store.dispose();
    }
}

describe("framing of responses", () => {
    for (
        const [title, path, body] of [
            ["a stream", "/drafts/a", firstEvent],
            ["a long body", "/exports/a", longPart],
        ] as const
    ) {
        // Guards against responses that look complete when the process of the entry is killed meanwhile (review/4).
        itSerially(`shows the end of ${title} without a length only after the endpoint's own end`, async t => {
            await using call = await RunningCall.start(path, unframedHead + body);
            t.true(isChunked(call.receivedSoFar));
            t.is(bodyOf(call.receivedSoFar), body);
            t.false(looksComplete(call.receivedSoFar));
            await call.endResponse();
            t.is(bodyOf(call.receivedSoFar), body);
            t.true(looksComplete(call.receivedSoFar));
        });
    }

    for (
        const [title, path, body] of [
            ["a stream", "/drafts/a", firstEvent],
            ["a long body", "/exports/a", longPart],
            ["a short body", "/exports/a", "part"],
        ] as const
    ) {
        // Guards against a body without a length that was cut off by the end of its endpoint and is sent as complete.
        itSerially(`is not completed for ${title} without a length whose endpoint has ended`, async t => {
            await using call = await RunningCall.start(path, unframedHead + body);
            await call.endEndpoint();
            t.true(body === "part" || bodyOf(call.receivedSoFar) === body);
            t.true(!call.receivedSoFar.head.startsWith("HTTP/1.1 200 ") || !looksComplete(call.receivedSoFar));
        });
    }

    // Guards against sound streams that are broken off because their parts are framed in different ways.
    itSerially("is complete if a stream in chunks is continued by one without a length that ends in order", async t => {
        const response = await makeCall("/summaries/a", [
            { bytes: chunkedHead + chunkOf(firstEvent), ending: "reset" },
            { bytes: unframedHead + secondEvent, ending: "end" },
        ]);
        t.is(bodyOf(response), firstEvent + secondEvent);
        t.true(looksComplete(response));
    });

    for (const [method, status, length] of [["HEAD", 200, 12], ["GET", 304, 12], ["GET", 204, undefined]] as const) {
        // Guards against a length that contradicts the missing body of a response.
        itSerially(`keeps the length that the endpoint states in a ${status} of ${method}`, async t => {
            const head = unframedHead.replace("200 OK", `${status} Status`);
            const bytes = length === undefined
                ? head
                : head.replace("Connection:", `Content-Length: ${length}\r\nConnection:`);
            const response = await makeCall("/look-ups/a", [{ bytes, ending: "end" }], "1.1", method);
            t.is(/content-length: (\d+)/i.exec(response.head)?.[1], length?.toString());
            t.false(isChunked(response));
            t.is(response.framedBody, "");
        });
    }

    // Guards against bodies for callers with HTTP/1.0 whose end does not show whether they are complete.
    itSerially("ends the connection of a caller with HTTP/1.0 in order only after a whole response", async t => {
        const whole = await makeCall("/drafts/a", [{ bytes: unframedHead + firstEvent, ending: "end" }], "1.0");
        t.false(isChunked(whole));
        t.deepEqual([whole.framedBody, whole.ending], [firstEvent, "end"]);
        const broken = await makeCall(
            "/drafts/a",
            [{ bytes: chunkedHead + chunkOf(firstEvent), ending: "reset" }],
            "1.0",
        );
        t.deepEqual([broken.framedBody, broken.ending], [firstEvent, "reset"]);
    });
});
