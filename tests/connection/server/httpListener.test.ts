import fc from "fast-check";
import { once } from "node:events";
import type { ServerResponse } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { describe, it } from "../../describe.js";
import { openConnection } from "../leavingCaller.js";
import { TestListener } from "./testListener.js";

const host = "Host: a\r\n";

/** Targets of the answers in the order in which they arrived. */
function answersIn(received: string): readonly string[] {
    return [...received.matchAll(/answer to (\/\w*);/g)].map(([, target = ""]) => target);
}

/** Sends parts one after the other, and reads until a number of answers has arrived or the connection has ended. */
async function exchange(address: string, parts: readonly (string | Buffer)[], answers: number): Promise<string> {
    const socket = await openConnection(address);
    let received = "";
    socket.on("data", (bytes: Buffer) => received += bytes.toString("latin1"));
    const closed = new Promise(resolve => socket.once("close", resolve));
    for (const part of parts) {
        socket.write(part);
        await sleep(0);
    }
    while (!socket.destroyed && !socket.readableEnded && answersIn(received).length < answers) {
        await Promise.race([sleep(5), closed]);
    }
    socket.destroy();
    return received;
}

/** Requests in several framings, and what the handler gets of them. */
const requestForms = [
    (target: string) => ({ text: `GET ${target} HTTP/1.1\r\n${host}\r\n`, body: "" }),
    (target: string) => ({ text: `\r\n\r\nGET ${target} HTTP/1.1\r\n${host}X-Empty:\r\n\r\n`, body: "" }),
    (target: string) => ({
        text: `POST ${target} HTTP/1.1\r\n${host}Content-Length: 9\r\n\r\na\r\n\r\nb\n\nc`,
        body: "a\r\n\r\nb\n\nc",
    }),
    (target: string) => ({
        text:
            `POST ${target} HTTP/1.1\r\n${host}Transfer-Encoding: chunked\r\n\r\n6\r\n\r\n\r\nxy\r\n3\r\n\n\nz\r\n0\r\n\r\n`,
        body: "\r\n\r\nxy\n\nz",
    }),
    (target: string) => ({
        text: `POST ${target} HTTP/1.1\r\n${host}Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\nX-Trailer: 1\r\n\r\n`,
        body: "x",
    }),
] as const;

describe("httpListener", () => {
    // Guards against clients that pipeline soundly and lose requests, bodies or the order of the responses.
    it("answers pipelined requests whole and in order, however their bytes are divided", async t => {
        await using listener = await TestListener.start();
        const formIndexes = fc.array(fc.nat(requestForms.length - 1), { minLength: 1, maxLength: 12 });
        const cuts = fc.array(fc.nat(1_000), { maxLength: 8 });
        await fc.assert(
            fc.asyncProperty(formIndexes, cuts, async (indexes, cutPositions) => {
                listener.handled.length = 0;
                const requests = indexes.map((form, index) =>
                    requestForms[form]?.(`/r${index}`) ?? { text: "", body: "" }
                );
                const text = requests.map(request => request.text).join("");
                const positions = [0, ...cutPositions.map(cut => cut % text.length).sort((a, b) => a - b), text.length];
                const parts = positions.slice(1).map((end, index) => text.slice(positions[index], end));
                const received = await exchange(listener.address, parts, requests.length);
                const targets = [...indexes.keys()].map(index => `/r${index}`);
                t.deepEqual(answersIn(received), targets);
                t.deepEqual(listener.handled.map(({ target }) => target), targets);
                t.deepEqual(listener.handled.map(({ body }) => body), requests.map(({ body }) => body));
            }),
            { seed: 59, numRuns: 60 },
        );
    });

    // Guards against requests that are taken up faster than their responses leave.
    it("takes up one request of a connection at a time", async t => {
        await using listener = await TestListener.start({}, (request, response) => {
            setTimeout(() => response.end(`answer to ${request.url ?? ""};`), 2);
        });
        const text = Array.from(Array(200).keys(), index => `GET /r${index} HTTP/1.1\r\n${host}\r\n`).join("");
        const received = await exchange(listener.address, [text], 200);
        t.is(answersIn(received).length, 200);
        t.is(listener.mostUnderWay, 1);
    });

    // Guards against a call that runs although its connection was closed before its turn.
    it("takes up no request behind a response that closes the connection", async t => {
        await using listener = await TestListener.start({}, (request, response) => {
            response.writeHead(200, { connection: "close" });
            response.end(`answer to ${request.url ?? ""};`);
        });
        const text = `GET /a HTTP/1.1\r\n${host}\r\nGET /b HTTP/1.1\r\n${host}\r\n`;
        t.deepEqual(answersIn(await exchange(listener.address, [text], 2)), ["/a"]);
        t.deepEqual(listener.handled.map(({ target }) => target), ["/a"]);
    });

    for (
        const [title, rest] of [
            ["bytes that are no HTTP", "\0\0\0\r\n\r\n"],
            ["half a request", "GET /b HTTP/1.1\r\nHo"],
            ["headers that are too large", `GET /b HTTP/1.1\r\nx: ${"x".repeat(20_000)}\r\n\r\n`],
        ] as const
    ) {
        // Guards against an error that is taken for the response to the request before: 408 promises that it has not run.
        it(`answers the request that is under way when ${title} follow`, async t => {
            let response: ServerResponse | undefined;
            await using listener = await TestListener.start({}, ({ socket }, started) => {
                socket.setNoDelay(true);
                response = started;
            });
            const exchanged = exchange(listener.address, [`GET /a HTTP/1.1\r\n${host}\r\n`, rest], 2);
            await sleep(900);
            response?.end("answer to /a;");
            const received = await exchanged;
            t.regex(received, /^HTTP\/1\.1 200 /);
            t.deepEqual(answersIn(received), ["/a"]);
        });
    }

    // Guards against metrics and log lines that blame clients whose connections are lost.
    it("does not count a client that leaves as one that sends invalid requests", async t => {
        await using listener = await TestListener.start({}, ({ url }, response) => {
            const timer = setInterval(() => response.write(`part of ${url ?? ""}`), 1);
            response.once("close", () => {
                clearInterval(timer);
            });
        });
        const socket = await openConnection(listener.address);
        socket.write(`GET /a HTTP/1.1\r\n${host}\r\n`);
        await once(socket, "data");
        socket.resetAndDestroy();
        while (!listener.metrics.includes("gullhall_connections{listener=\"test\"} 0")) {
            await sleep(5);
        }
        t.regex(listener.metrics, /reason="requestInvalid"\} 0\n/);
    });

    // Guards against header lines that are dropped without an error.
    it("delivers all header lines that fit into the size limit", async t => {
        await using listener = await TestListener.start();
        const lines = Array.from({ length: 3_000 }, () => "a:\r\n").join("");
        t.deepEqual(answersIn(await exchange(listener.address, [`GET /a HTTP/1.1\r\n${lines}${host}\r\n`], 1)), ["/a"]);
        t.is(listener.handled[0]?.lines, 3_001);
    });

    // Guards against a refusal that bypasses the limits, the metrics and the form of other refusals.
    it("refuses a request without Host with a code", async t => {
        await using listener = await TestListener.start();
        const received = await exchange(listener.address, ["GET /a HTTP/1.1\r\n\r\n"], 1);
        t.regex(received, /^HTTP\/1\.1 400 .*GH1364/s);
        t.is(listener.handled.length, 0);
    });

    // Guards against a request that is refused because of an expectation that a server may ignore.
    it("answers a request with an unknown expectation", async t => {
        await using listener = await TestListener.start();
        const received = await exchange(listener.address, [`GET /a HTTP/1.1\r\n${host}Expect: miracles\r\n\r\n`], 1);
        t.deepEqual(answersIn(received), ["/a"]);
    });

    // Guards against clients that keep a response for ever.
    it("closes the connection of a client that reads nothing, and keeps that of a slow one", async t => {
        await using listener = await TestListener.start({ unreadTimeout: 400 }, ({ httpVersion }, response) => {
            response.setHeader("x-version", httpVersion);
            response.end(Buffer.alloc(20_000_000, "x"));
        });
        const idle = await openConnection(listener.address);
        idle.pause();
        idle.write(`GET /a HTTP/1.1\r\n${host}\r\n`);
        const slow = await openConnection(listener.address);
        let bytes = 0;
        slow.on("data", (chunk: Buffer) => {
            bytes += chunk.length;
            slow.pause();
            setTimeout(() => slow.resume(), 5);
        });
        slow.write(`GET /a HTTP/1.1\r\n${host}\r\n`);
        while (!listener.metrics.includes("reason=\"responseUnread\"} 1")) {
            await sleep(20);
        }
        while (bytes < 20_000_000 && !slow.destroyed) {
            await sleep(20);
        }
        t.true(bytes >= 20_000_000);
        t.regex(listener.metrics, /reason="responseUnread"\} 1\n/);
        idle.destroy();
        slow.destroy();
    });

    // Guards against idle connections that leave no room for ordinary clients.
    it("closes the connection that has been idle for the longest time when there are too many", async t => {
        await using listener = await TestListener.start({ maximumConnections: 3 });
        const first = await openConnection(listener.address);
        const closed = new Promise(resolve => first.once("close", resolve));
        const others = [await openConnection(listener.address), await openConnection(listener.address)];
        t.deepEqual(answersIn(await exchange(listener.address, [`GET /a HTTP/1.1\r\n${host}\r\n`], 1)), ["/a"]);
        first.resume();
        await closed;
        t.false(others.some(socket => socket.readableEnded || socket.destroyed));
        t.regex(listener.metrics, /reason="connectionLimit"\} 1\n/);
        others.forEach(socket => socket.destroy());
    });

    for (
        const [title, content] of [
            ["requests sent ahead", `GET /held HTTP/1.1\r\n${host}\r\n`.repeat(1_500)],
            ["incomplete headers", `GET /held HTTP/1.1\r\n${host}${"a:\r\n".repeat(3_000)}`],
        ] as const
    ) {
        // Guards against many connections each of which stays within its limit.
        it(`closes the connections that retain ${title} for the longest time when all retain too much`, async t => {
            await using listener = await TestListener.start({ requestMemory: 4_000_000 }, (request, response) => {
                if (request.url !== "/held") {
                    response.end(`answer to ${request.url ?? ""};`);
                }
            });
            const sockets = [];
            for (let index = 0; index < 60; index++) {
                const socket = await openConnection(listener.address);
                socket.resume().write(content);
                sockets.push(socket);
            }
            while (!/reason="memoryLimit"\} [1-9]/.test(listener.metrics)) {
                await sleep(5);
            }
            t.deepEqual(answersIn(await exchange(listener.address, [`GET /a HTTP/1.1\r\n${host}\r\n`], 1)), ["/a"]);
            const retained = Number(
                /gullhall_connection_retained_bytes\{listener="test"\} (\d+)/.exec(listener.metrics)?.[1],
            );
            t.true(retained <= 2_000_000);
            sockets.forEach(socket => socket.destroy());
            while (!listener.metrics.includes("gullhall_connection_retained_bytes{listener=\"test\"} 0")) {
                await sleep(5);
            }
        });
    }

    // Guards against large requests that leave no memory for small ones.
    it("refuses large requests while memory is scarce, with the time to come back, and answers small ones", async t => {
        const responses: ServerResponse[] = [];
        await using listener = await TestListener.start({ requestMemory: 2_000_000 }, (request, response) => {
            if (request.url === "/large") {
                responses.push(response);
                return;
            }
            response.end(`answer to ${request.url ?? ""};`);
        });
        const large = `GET /large HTTP/1.1\r\n${host}${"a:\r\n".repeat(1_000)}\r\n`;
        const sockets = await Promise.all(Array.from({ length: 6 }, () => openConnection(listener.address)));
        const heads: Promise<unknown>[] = [];
        for (const socket of sockets) {
            heads.push(once(socket, "data"));
            socket.write(large);
        }
        const [refusal] = await Promise.race(heads) as [Buffer];
        t.regex(refusal.toString(), /^HTTP\/1\.1 503 .*retry-after: [1-3]\r\n.*GH1369/s);
        t.regex(refusal.toString(), /x-outcome: notRun/);
        t.true(responses.length < sockets.length);
        t.deepEqual(answersIn(await exchange(listener.address, [`GET /a HTTP/1.1\r\n${host}\r\n`], 1)), ["/a"]);
        sockets.forEach(socket => socket.destroy());
    });
});
