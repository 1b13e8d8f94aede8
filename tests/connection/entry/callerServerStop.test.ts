import { once } from "node:events";
import type { Socket } from "node:net";
import { defaultCallerServerLimits } from "../../../src/connection/entry/callerServer.js";
import { PlainService } from "../../../src/standIn/plainService/plainService.js";
import { SystemClock } from "../../../src/util/clock.js";
import { DisposableStore } from "../../../src/util/disposableStore.js";
import { describe, it } from "../../describe.js";
import { formatRequest, openConnection } from "../leavingCaller.js";
import { TestEntry } from "./testEntry.js";

const clock = new SystemClock();

/** Time within which the entry reads bytes that were sent. */
const readTime = 200;

const limits = { ...defaultCallerServerLimits, headersTimeout: 2_000, requestTimeout: 2_500, timeoutCheckInterval: 50 };

/** Beginning of a request whose rest never arrives. */
const incompleteRequests = {
    "half a head": "GET /bookings/x HTTP/1.1\r\nhos",
    "half a body": "POST /bookings/x HTTP/1.1\r\nhost: x\r\ncontent-length: 9\r\n\r\n{}",
};

/** Resolves with everything that is received until the connection closes. */
async function readToClose(socket: Socket): Promise<string> {
    let received = "";
    socket.setEncoding("latin1");
    socket.on("data", (text: string) => received += text);
    if (!socket.destroyed) {
        await once(socket, "close");
    }
    return received;
}

describe("caller server that stops", () => {
    // Guards against an entry that never ends because a caller keeps a connection without sending a request.
    it("closes connections that were never used", async t => {
        const entry = await TestEntry.start({}, { limits });
        const socket = await openConnection(entry.address);
        const received = readToClose(socket);
        await entry[Symbol.asyncDispose]();
        t.is(await received, "");
    });

    for (const [title, beginning] of Object.entries(incompleteRequests)) {
        // Guards against an entry that never ends because the rest of a request does not arrive.
        it(`refuses a request of which it received ${title} before`, async t => {
            const entry = await TestEntry.start({}, { limits });
            const socket = await openConnection(entry.address);
            const received = readToClose(socket);
            const bytes = beginning.replace("host: x", `host: x\r\nauthorization: Bearer ${entry.key}`);
            await new Promise(resolve => socket.write(bytes, resolve));
            await clock.sleep(readTime);
            await entry[Symbol.asyncDispose]();
            t.regex(await received, /^HTTP\/1\.1 408 .*GH1366/s);
        });
    }

    // Guards against callers that go on using a connection of an entry that stops, as a request there was still running.
    it("closes the connection after the response to a request that it received before", async t => {
        await using store = new DisposableStore();
        const service = store.add(new PlainService({ name: "bookings-1" }, clock));
        const entry = await TestEntry.start({ services: [await service.start()] }, { limits });
        const socket = await openConnection(entry.address);
        const received = readToClose(socket);
        const headers = { "host": "x", "authorization": `Bearer ${entry.key}` };
        const bytes = formatRequest("POST", "/bookings/x", headers, "{}");
        socket.write(bytes.slice(0, -1));
        await clock.sleep(readTime);
        const stopped = entry[Symbol.asyncDispose]();
        socket.write(bytes.slice(-1));
        t.regex(await received, /^HTTP\/1\.1 200 .*\r\nconnection: close\r\n/is);
        await stopped;
    });

    // Guards against requests that are dropped because they arrived just before the stop and have not been read yet.
    it("answers a request that it has not read yet on a connection that was used before", async t => {
        await using store = new DisposableStore();
        const service = store.add(new PlainService({ name: "bookings-1" }, clock));
        const entry = await TestEntry.start({ services: [await service.start()] }, { limits });
        const socket = await openConnection(entry.address);
        const request = formatRequest("POST", "/bookings/x", { host: "x", authorization: `Bearer ${entry.key}` }, "{}");
        socket.write(request);
        await once(socket, "data");
        await clock.sleep(readTime);
        const received = readToClose(socket);
        socket.write(request);
        const stopped = entry[Symbol.asyncDispose]();
        t.regex(await received, /^HTTP\/1\.1 200 .*\r\nconnection: close\r\n/is);
        await stopped;
    });
});
