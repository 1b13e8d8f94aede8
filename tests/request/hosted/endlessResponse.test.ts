import { createServer } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { httpCall } from "../../../src/connection/httpCall.js";
import { DisposableStore } from "../../../src/util/disposableStore.js";
import { listen } from "../../../src/util/socketAddress.js";
import { EndlessEndpoint } from "../../connection/endlessEndpoint.js";
import { formatRequest, openConnection } from "../../connection/leavingCaller.js";
import { bodyOf, looksComplete, sendRaw } from "../../connection/rawCaller.js";
import { describe, itSerially } from "../../describe.js";
import { documentOf } from "../../platform/testDocument.js";
import { createEndpointRecord } from "../../process/hosted/entry/testEndpoints.js";
import { CallServer } from "./callServer.js";

const soundBody = "x".repeat(3 * 1024 * 1024);

const document = documentOf(3, {
    routes: [
        {
            "name": "look-ups",
            "host": "calls.example",
            "path-prefix": "/look-ups/",
            "kind": "safe",
            "timeout-ms": 4_000,
            "service": "desk",
            "attempts": 2,
        },
        {
            "name": "drafts",
            "host": "calls.example",
            "path-prefix": "/drafts/",
            "kind": "streaming",
            "timeout-ms": 4_000,
            "service": "desk",
            "attempts": 2,
            "resumable": true,
        },
    ],
});

const proof = "Gullhall-Attempt-Id: call-1\r\nGullhall-Response-Signature: proof\r\n";
const chunked = `HTTP/1.1 200 OK\r\n${proof}Transfer-Encoding: chunked\r\n\r\n`;

/** An entry with an endpoint that sends bytes without end, which is chosen first, and a sound one. */
async function startEntry(
    store: DisposableStore,
    beginning: string,
    repeated: string,
): Promise<{ readonly entry: CallServer; readonly endless: EndlessEndpoint; }> {
    const endless = await EndlessEndpoint.start(store, { beginning, repeated });
    const sound = createServer((request, response) => {
        request.resume();
        response.setHeader("gullhall-attempt-id", String(request.headers["gullhall-attempt-id"]));
        response.setHeader("gullhall-response-signature", "proof");
        response.end(request.url === "/drafts/a" ? "id: 1\ndata: sound\n\n" : soundBody);
    });
    store.defer(() => {
        sound.close();
        sound.closeAllConnections();
    });
    const records = [
        createEndpointRecord("e0", { service: "desk", address: endless.address }),
        createEndpointRecord("e1", { service: "desk", address: await listen(sound, "127.0.0.1:0") }),
    ];
    const entry = store.add(await CallServer.start(document, records));
    entry.givePermit();
    return { entry, endless };
}

const callHeaders = { "host": "calls.example", "api-key": "key-1", "gullhall-attempt-id": "call-1" };

async function waitUntil(condition: () => boolean): Promise<void> {
    while (!condition()) {
        await sleep(20);
    }
}

/** Bytes of all buffers of this process. */
function bufferedBytes(): number {
    return process.memoryUsage().external;
}

describe("a call whose endpoint sends bytes without end", () => {
    // Guards against endpoints that hold calls, connections and memory with bytes that are no response.
    describe("gets the response of a second endpoint", () => {
        for (
            const [title, path, beginning, repeated] of [
                ["before the headers", "/look-ups/a", "", "no response "],
                ["in empty lines before the headers", "/look-ups/a", "", "\r\n"],
                ["in one header", "/look-ups/a", "HTTP/1.1 200 OK\r\nx: ", "a"],
                ["in many headers", "/look-ups/a", "HTTP/1.1 200 OK\r\n", "x: a\r\n"],
                ["in interim responses", "/look-ups/a", "", "HTTP/1.1 103 Early Hints\r\n\r\n"],
                ["in the size of a chunk", "/look-ups/a", chunked, "0"],
                ["in the extension of a chunk", "/look-ups/a", `${chunked}5;x=`, "a"],
                ["in trailers", "/look-ups/a", `${chunked}0\r\n`, "x: a\r\n"],
                [
                    "in the body of an error",
                    "/look-ups/a",
                    `HTTP/1.1 500 Error\r\n${proof}Content-Length: 1000000000000\r\n\r\n`,
                    "a",
                ],
                ["in one event of a stream", "/drafts/a", chunked, "100\r\ndata: aaaaaaaa".padEnd(261, "a") + "\r\n"],
                [
                    "in the body of a rejection",
                    "/look-ups/a",
                    `HTTP/1.1 503 Full\r\n${proof}Gullhall-Not-Executed: 1\r\nContent-Length: 1000000000000\r\n\r\n`,
                    "a",
                ],
            ] as const
        ) {
            itSerially(title, async t => {
                await using store = new DisposableStore();
                const { entry, endless } = await startEntry(store, beginning, repeated);
                const response = await httpCall({
                    address: entry.callerAddress,
                    method: "POST",
                    path,
                    headers: { ...callHeaders, "gullhall-deadline-remaining": "4000" },
                    timeout: 10_000,
                });
                const { status, body } = response.unwrap();
                t.is(status, 200);
                t.true(
                    path === "/drafts/a"
                        ? body.toString().endsWith("data: sound\n\n")
                        : body.length === soundBody.length,
                );
                await waitUntil(() => endless.isAbandoned);
                t.pass();
            });
        }
    });

    // Guards against entries that buffer what has no end, and against cut responses that look complete.
    for (
        const [title, beginning, repeated] of [
            ["chunks", chunked, `100\r\n${"a".repeat(256)}\r\n`],
            ["a length", `HTTP/1.1 200 OK\r\n${proof}Content-Length: 1000000000000\r\n\r\n`, "a"],
            ["neither", `HTTP/1.1 200 OK\r\n${proof}Connection: close\r\n\r\n`, "a"],
        ] as const
    ) {
        itSerially(`is cut at its deadline, and not buffered, in a body with ${title}`, async t => {
            await using store = new DisposableStore();
            const { entry, endless } = await startEntry(store, beginning, repeated);
            const before = bufferedBytes();
            const callers = await Promise.all(Array.from(Array(30), () => openConnection(entry.callerAddress)));
            const headers = { ...callHeaders, "gullhall-deadline-remaining": "1500" };
            for (const caller of callers) {
                caller.write(formatRequest("POST", "/look-ups/a", headers));
                caller.pause();
            }
            await sleep(1_000);
            t.true(bufferedBytes() - before < 64 * 1024 * 1024, `${bufferedBytes() - before} bytes`);
            const texts = await Promise.all(callers.map(async caller => {
                let text = "";
                caller.on("data", (chunk: Buffer) => {
                    text = (text + chunk.toString("latin1")).slice(-64);
                });
                caller.resume();
                await new Promise(resolve => caller.once("close", resolve));
                return text;
            }));
            t.false(texts.some(text => text.endsWith("0\r\n\r\n")));
            await waitUntil(() => endless.isAbandoned);
        });
    }

    // Guards against a cut response without length and chunks, whose end the caller would take for its own.
    for (const version of ["1.1", "1.0"]) {
        itSerially(
            `looks incomplete at its deadline if its endpoint sends neither length nor chunks (HTTP/${version})`,
            async t => {
                await using store = new DisposableStore();
                const endpoint = createServer((request, response) => {
                    request.resume();
                    response.useChunkedEncodingByDefault = false;
                    response.shouldKeepAlive = false;
                    response.removeHeader("transfer-encoding");
                    response.setHeader("gullhall-attempt-id", "call-1");
                    response.setHeader("gullhall-response-signature", "proof");
                    response.write(soundBody);
                });
                store.defer(() => {
                    endpoint.close();
                    endpoint.closeAllConnections();
                });
                const address = await listen(endpoint, "127.0.0.1:0");
                const record = createEndpointRecord("e0", { service: "desk", address });
                const entry = store.add(await CallServer.start(document, [record]));
                entry.givePermit();
                const request = formatRequest("POST", "/look-ups/a", {
                    ...callHeaders,
                    "gullhall-deadline-remaining": "1500",
                });
                const response = await sendRaw(
                    entry.callerAddress,
                    request.replace("HTTP/1.1", `HTTP/${version}`),
                    10_000,
                );
                t.is(response.ending, version === "1.1" ? "end" : "reset");
                t.true(bodyOf(response).length >= soundBody.length);
                t.false(looksComplete(response));
            },
        );
    }
});
