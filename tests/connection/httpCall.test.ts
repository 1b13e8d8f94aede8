import { setTimeout as sleep } from "node:timers/promises";
import { httpCall } from "../../src/connection/httpCall.js";
import { probeListener } from "../../src/connection/probeListener.js";
import { DisposableStore } from "../../src/util/disposableStore.js";
import { describe, it } from "../describe.js";
import { EndlessEndpoint } from "./endlessEndpoint.js";
import { startRawServer } from "./rawServer.js";
import { stalledBodyBytes, StalledEndpoint } from "./stalledEndpoint.js";

describe("httpCall", () => {
    // Guards against tasks, and with them processes, that end because a list names an address without a usable port.
    it("fails without an exception if the address has no port to connect to", async t => {
        const address = "127.0.0.1:99999";
        t.true((await httpCall({ address, method: "GET", path: "/", timeout: 1_000 })).err);
        t.is(await probeListener(address, 1_000), "unreachable");
    });

    for (const cancellation of ["timeout", "signal"]) {
        // Guards against orders that a server receives after the caller has given them up and told so.
        it(`withdraws what the server has not received (${cancellation})`, async t => {
            await using store = new DisposableStore();
            const server = await StalledEndpoint.start(store);
            const controller = new AbortController();
            const result = httpCall({
                address: server.address,
                method: "POST",
                path: "/",
                body: Buffer.alloc(stalledBodyBytes),
                timeout: cancellation === "timeout" ? 300 : 60_000,
                signal: controller.signal,
            });
            await server.waitForStall();
            if (cancellation === "signal") {
                controller.abort();
            }
            t.true((await result).err);
            t.true(await server.readToEnd() < stalledBodyBytes);
        });
    }

    for (
        const [title, bytes] of [["200", "HTTP/1.1 200 OK\r\n\r\n[]"], ["400", "HTTP/1.1 400 Bad\r\n\r\n[]"]] as const
    ) {
        // Guards against lists and answers of which a part is taken for the whole.
        it(`fails if a response without a length is reset together with its last bytes (${title})`, async t => {
            await using store = new DisposableStore();
            const address = await startRawServer(store, bytes, "resetWithData");
            t.true((await httpCall({ address, method: "GET", path: "/", timeout: 5_000 })).err);
        });

        it(`returns a response without a length that ends in order (${title})`, async t => {
            await using store = new DisposableStore();
            const address = await startRawServer(store, bytes, "end");
            const result = await httpCall({ address, method: "GET", path: "/", timeout: 5_000 });
            t.is(result.ok && result.val.body.toString(), "[]");
        });
    }

    for (
        const [title, head] of [
            ["status 000", "HTTP/1.1 000 OK\r\n"],
            ["status 600", "HTTP/1.1 600 OK\r\n"],
            ["a blank in the name of a header", "HTTP/1.1 200 OK\r\nX Trouble: 1\r\n"],
        ] as const
    ) {
        // Guards against lists and answers that are read from what is no HTTP.
        it(`fails if the response has ${title}`, async t => {
            await using store = new DisposableStore();
            const address = await startRawServer(store, `${head}content-length: 2\r\n\r\n[]`, "end");
            t.true((await httpCall({ address, method: "GET", path: "/", timeout: 5_000 })).err);
        });
    }

    // Guards against tasks that wait for ever for a list, because a server changes the protocol of the connection.
    it("fails if the server switches protocols", async t => {
        await using store = new DisposableStore();
        const head = "HTTP/1.1 101 Switching Protocols\r\nUpgrade: other\r\nConnection: Upgrade\r\n\r\n";
        const address = await startRawServer(store, head, "end");
        t.true((await httpCall({ address, method: "GET", path: "/", timeout: 5_000 })).err);
    });

    // Guards against servers that hold memory and time with bytes that are no response.
    describe("fails, and closes its connection, if a server sends bytes without end", () => {
        for (
            const [title, beginning, repeated] of [
                ["before the headers", "", "no response "],
                ["in empty lines before the headers", "", "\r\n"],
                ["in one header", "HTTP/1.1 200 OK\r\nx: ", "a"],
                ["in many headers", "HTTP/1.1 200 OK\r\n", "x: a\r\n"],
                ["in interim responses", "", "HTTP/1.1 103 Early Hints\r\n\r\n"],
                ["in the size of a chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "0"],
                ["in trailers", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "x: a\r\n"],
                ["in a body with a length", "HTTP/1.1 200 OK\r\nContent-Length: 1000000000000\r\n\r\n", "a"],
                ["in a body without a length", "HTTP/1.1 200 OK\r\n\r\n", "a"],
            ] as const
        ) {
            it(title, async t => {
                await using store = new DisposableStore();
                const server = await EndlessEndpoint.start(store, { beginning, repeated });
                const result = await httpCall({
                    address: server.address,
                    method: "GET",
                    path: "/",
                    timeout: 60_000,
                    maximumResponseBytes: 1024 * 1024,
                });
                t.true(result.err);
                t.not(result.val, "the call timed out");
                while (!server.isAbandoned) {
                    await sleep(20);
                }
            });
        }
    });
});
