import { createServer } from "node:net";
import type { Socket } from "node:net";
import { DisposableStore } from "../../../src/util/disposableStore.js";
import { listen } from "../../../src/util/socketAddress.js";
import { ask, codeOf } from "../../connection/entry/testCaller.js";
import { TestEntry } from "../../connection/entry/testEntry.js";
import { formatRequest } from "../../connection/leavingCaller.js";
import { bodyOf, looksComplete, sendRaw } from "../../connection/rawCaller.js";
import { startRawServer } from "../../connection/rawServer.js";
import { describe, it } from "../../describe.js";

/** Longer than the part of a body that an entry buffers before it forwards any. */
const longBody = "x".repeat(100_000);

const unframedHead = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n";

/** Starts an entry whose service responds to each request with a function, which gets the request's identifier. */
async function startEntry(
    store: DisposableStore,
    respond: (socket: Socket, requestId: string) => void,
): Promise<TestEntry> {
    const sockets = new Set<Socket>();
    const server = createServer(socket => {
        sockets.add(socket);
        socket.on("error", () => undefined);
        socket.on("data", bytes => {
            respond(socket, /x-request-id: (\S+)/i.exec(bytes.toString())?.[1] ?? "");
        });
    });
    store.defer(() => {
        server.close();
        sockets.forEach(socket => socket.destroy());
    });
    return store.add(await TestEntry.start({ services: [await listen(server, "127.0.0.1:0")] }));
}

/** Resets a connection after the bytes that were written have arrived. */
function resetLater(socket: Socket): void {
    setTimeout(() => {
        socket.resetAndDestroy();
    }, 50);
}

describe("response of a service that is broken off", () => {
    for (const version of ["1.1", "1.0"]) {
        // Guards against a long body that is reset by its endpoint and looks complete to the caller.
        it(`looks incomplete if it has neither length nor chunks (HTTP/${version})`, async t => {
            await using store = new DisposableStore();
            const entry = await startEntry(store, socket => {
                socket.write(unframedHead + longBody);
                resetLater(socket);
            });
            const headers = { host: "calls.example", authorization: `Bearer ${entry.key}` };
            const request = formatRequest("GET", "/bookings/a", headers).replace("HTTP/1.1", `HTTP/${version}`);
            const response = await sendRaw(entry.address, request, 5_000);
            t.regex(response.head, /^HTTP\/1\.1 200 /);
            t.true(bodyOf(response).length > 0);
            t.false(looksComplete(response));
        });
    }

    // Guards against a short body that is reset by its endpoint and forwarded as complete.
    it("is not forwarded if it is short and has neither length nor chunks", async t => {
        await using store = new DisposableStore();
        const entry = await startEntry(store, socket => {
            socket.write(`${unframedHead}part`);
            resetLater(socket);
        });
        const response = await ask(entry, { path: "/bookings/a", body: "{}" });
        t.deepEqual([codeOf(response), response.headers["x-outcome"]], ["endpointFailed", "unknown"]);
    });
});

describe("response of a service whose connection is reset together with its last bytes", () => {
    for (const contentType of ["application/json", "text/event-stream", "text/plain"]) {
        for (const [title, body] of [["without a body", ""], ["with a long body", "x".repeat(60_000)]] as const) {
            // Guards against a part of a response without a length that callers get as complete (MIXED).
            it(`is not forwarded to a call ${title} (${contentType})`, async t => {
                await using store = new DisposableStore();
                const bytes = `HTTP/1.1 200 OK\r\ncontent-type: ${contentType}\r\n\r\npart`;
                const service = await startRawServer(store, bytes, "resetWithData");
                const entry = store.add(await TestEntry.start({ services: [service] }));
                const response = await ask(entry, { path: "/bookings/a", body });
                t.deepEqual([codeOf(response), response.headers["x-outcome"]], ["endpointFailed", "unknown"]);
            });
        }
    }

    // Guards against a part of a long response that callers get as complete.
    it("looks incomplete if it is long", async t => {
        await using store = new DisposableStore();
        const service = await startRawServer(store, unframedHead + longBody, "resetWithData");
        const entry = store.add(await TestEntry.start({ services: [service] }));
        const headers = { host: "calls.example", authorization: `Bearer ${entry.key}` };
        const response = await sendRaw(entry.address, formatRequest("GET", "/bookings/a", headers), 5_000);
        t.false(response.head.startsWith("HTTP/1.1 200 ") && looksComplete(response));
    });
});

describe("refusal of a service that names another request", () => {
    // Guards against requests that are reported as not run because an earlier refusal arrived again.
    it("is not believed", async t => {
        await using store = new DisposableStore();
        let isRefused = false;
        const entry = await startEntry(store, (socket, requestId) => {
            const identity = isRefused ? "x-request-id: earlier\r\nx-not-run: true" : `x-request-id: ${requestId}`;
            socket.write(`HTTP/1.1 ${isRefused ? 503 : 200} Status\r\n${identity}\r\ncontent-length: 0\r\n\r\n`);
        });
        t.is((await ask(entry, { method: "GET", path: "/bookings/a" })).status, 200);
        isRefused = true;
        const response = await ask(entry, { method: "GET", path: "/bookings/a" });
        t.deepEqual([codeOf(response), response.headers["x-outcome"]], ["endpointFailed", "unknown"]);
    });
});
