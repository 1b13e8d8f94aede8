import fastCheck from "fast-check";
import { createServer } from "node:http";
import type { RequestListener } from "node:http";
import { createServer as createSocketServer } from "node:net";
import type { AddressInfo, Server, Socket } from "node:net";
import { HttpLeasedCaller } from "../../../src/process/platform/httpLeasedCaller.js";
import { jsonContent } from "../../../src/process/platform/leasedCaller.js";
import type { LeasedCall } from "../../../src/process/platform/leasedCaller.js";
import { SystemClock } from "../../../src/util/clock.js";
import { DisposableStore } from "../../../src/util/disposableStore.js";
import { startRawServer } from "../../connection/rawServer.js";
import { describe, it } from "../../describe.js";

const token = { fencingNumber: 7 };
const neverAborted = new AbortController().signal;

async function listen(server: Server, store: DisposableStore): Promise<string> {
    const sockets = new Set<Socket>();
    server.on("connection", socket => sockets.add(socket).size);
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    store.defer(() => {
        sockets.forEach(socket => socket.destroy());
        server.close();
    });
    return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

function createCaller(timeLimit = 5_000, lease: () => typeof token | undefined = () => token): HttpLeasedCaller {
    return new HttpLeasedCaller({ lease }, new SystemClock(), timeLimit, 50);
}

function callTo(address: string): LeasedCall {
    return { address, method: "POST", path: "/orders", content: ({ fencingNumber }) => jsonContent({ fencingNumber }) };
}

describe("HttpLeasedCaller", () => {
    describe("call", () => {
        const cases: readonly { title: string; listener: RequestListener; expected: unknown; }[] = [
            {
                title: "returns body and status",
                listener: (request, response) => {
                    request.pipe(response.writeHead(201));
                },
                expected: { status: 201, retryAfter: undefined, body: token },
            },
            {
                title: "parses the header retry-after",
                listener: (request, response) => {
                    request.resume();
                    response.writeHead(429, { "retry-after": "3" }).end();
                },
                expected: { status: 429, retryAfter: 3_000, body: undefined },
            },
        ];
        for (const { title, listener, expected } of cases) {
            it(title, async t => {
                await using store = new DisposableStore();
                const address = await listen(createServer(listener), store);
                const response = await createCaller().call(callTo(address), neverAborted);
                t.deepEqual(response.val, expected);
            });
        }

        // Guards against orders that count as answered by a part of their answer.
        it("fails if a response without a length is reset together with its last bytes", async t => {
            await using store = new DisposableStore();
            const address = await startRawServer(store, "HTTP/1.1 201 Created\r\n\r\n12", "resetWithData");
            const response = await createCaller().call(callTo(address), neverAborted);
            t.is(response.err && response.val.code, "callFailed");
        });

        it("writes nothing if the lease ends while connecting", async t => {
            await using store = new DisposableStore();
            let bytes = 0;
            const server = createSocketServer(socket => {
                socket.on("data", chunk => (bytes += chunk.length)).on("error", () => undefined);
            });
            const address = await listen(server, store);
            const closed = new Promise(resolve => server.once("connection", socket => socket.once("close", resolve)));
            let isLeaseHeld = true;
            const pending = createCaller(2_000, () => isLeaseHeld ? token : undefined).call(
                callTo(address),
                neverAborted,
            );
            isLeaseHeld = false;
            const response = await pending;
            await closed;
            t.deepEqual([response.err && response.val.code, bytes], ["leaseLost", 0]);
        });

        it("closes the connection on timeout and cancellation", async t => {
            await using store = new DisposableStore();
            const ended = new AbortController();
            const server = createSocketServer(socket => {
                socket.on("error", () => undefined).once("data", () => {
                    ended.abort();
                });
            });
            const address = await listen(server, store);
            const closed = new Promise(resolve => server.once("connection", socket => socket.once("close", resolve)));
            const cancelled = await createCaller().call(callTo(address), ended.signal);
            await closed;
            const timedOut = await createCaller(30).call(callTo(address), neverAborted);
            t.deepEqual([cancelled.ok, timedOut.err && timedOut.val.code], [false, "callTimedOut"]);
        });

        it("returns a response or a documented failure for any response bytes", async t => {
            await using store = new DisposableStore();
            let reply = Buffer.alloc(0);
            const server = createSocketServer(socket => {
                socket.on("error", () => undefined).once("data", () => socket.end(reply));
            });
            const address = await listen(server, store);
            const head = "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n";
            const property = fastCheck.asyncProperty(
                fastCheck.uint8Array({ maxLength: 60 }),
                fastCheck.boolean(),
                async (noise, withHead) => {
                    reply = Buffer.concat([Buffer.from(withHead ? head : ""), noise]);
                    const response = await createCaller(2_000).call(callTo(address), neverAborted);
                    t.true(response.ok || ["callFailed", "platformAnswerMalformed"].includes(response.val.code));
                },
            );
            await fastCheck.assert(property, { seed: 9, numRuns: 80 });
        });
    });
});
