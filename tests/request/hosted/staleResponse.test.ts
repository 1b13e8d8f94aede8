import { createServer } from "node:net";
import type { Socket } from "node:net";
import { httpCall } from "../../../src/connection/httpCall.js";
import type { HttpCallResponse } from "../../../src/connection/httpCall.js";
import { DisposableStore } from "../../../src/util/disposableStore.js";
import { listen } from "../../../src/util/socketAddress.js";
import { writeAndEnd } from "../../connection/rawServer.js";
import { describe, itSerially } from "../../describe.js";
import { documentOf } from "../../platform/testDocument.js";
import { createEndpointRecord } from "../../process/hosted/entry/testEndpoints.js";
import { CallServer } from "./callServer.js";

const document = documentOf(3, {
    routes: [["look-ups", "safe"], ["bookings", "unsafe"], ["drafts", "streaming"]].map(([name, kind]) => ({
        "name": name,
        "host": "calls.example",
        "path-prefix": `/${name}/`,
        kind,
        "timeout-ms": 1_500,
        "service": "desk",
        "attempts": 2,
    })),
});

const notExecuted = "Gullhall-Not-Executed: 1\r\n";

function answerOf(callId: string): string {
    const identity = `Gullhall-Attempt-Id: ${callId}\r\nGullhall-Response-Signature: proof\r\n`;
    return `HTTP/1.1 200 OK\r\n${identity}Content-Length: 6\r\n\r\nanswer`;
}

/** Responses that an endpoint may repeat on a connection that another call uses by then. */
const staleResponses: Readonly<Record<string, string>> = {
    "a refusal without an identifier": `HTTP/1.1 503 Unavailable\r\n${notExecuted}Content-Length: 0\r\n\r\n`,
    "a rejection without an identifier": `HTTP/1.1 429 Too Many\r\n${notExecuted}Content-Length: 0\r\n\r\n`,
    "a misdirection without an identifier": "HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n",
    "an error without an identifier": "HTTP/1.1 500 Failed\r\nContent-Length: 5\r\n\r\nstale",
    "a refusal of the call before":
        `HTTP/1.1 503 Unavailable\r\n${notExecuted}Gullhall-Attempt-Id: call-1\r\nContent-Length: 0\r\n\r\n`,
    "an answer to the call before": answerOf("call-1"),
    "an answer in chunks to the call before": answerOf("call-1").replace(
        "Content-Length: 6\r\n\r\nanswer",
        "Transfer-Encoding: chunked\r\n\r\n6\r\nanswer\r\n0\r\n\r\n",
    ),
};

const unframedAnswer = answerOf("call-1").replace("Content-Length: 6\r\n", "");

/** An entry and two endpoints, which record the calls that they run. */
class RecordingFleet implements AsyncDisposable {
    readonly runs: string[] = [];
    private readonly store = new DisposableStore();
    private readonly connectedEndpoints = new Set<number>();
    private callerAddress = "";

    /** @param respond Responds to the call with the given identifier; the connection is kept. */
    static async start(
        respond: (callId: string, socket: Socket) => void,
        endpointCount: number,
    ): Promise<RecordingFleet> {
        const fleet = new RecordingFleet();
        const records = [];
        for (let index = 0; index < endpointCount; index++) {
            const server = createServer(socket => {
                socket.on("error", () => undefined);
                fleet.connectedEndpoints.add(index);
                socket.on("data", bytes => {
                    const callId = /gullhall-attempt-id: (\S+)/i.exec(bytes.toString())?.[1] ?? "";
                    fleet.runs.push(callId);
                    respond(callId, socket);
                });
            });
            fleet.store.defer(() => {
                server.close();
            });
            const address = await listen(server, "127.0.0.1:0");
            records.push(createEndpointRecord(`e${index}`, { service: "desk", address }));
        }
        const entry = fleet.store.add(await CallServer.start(document, records));
        entry.givePermit();
        fleet.callerAddress = entry.callerAddress;
        return fleet;
    }

    /** Number of endpoints to which the entry has opened a connection. */
    get connectionCount(): number {
        return this.connectedEndpoints.size;
    }

    async call(path: string, callId: string): Promise<HttpCallResponse> {
        const headers = { "host": "calls.example", "api-key": "key-1", "gullhall-attempt-id": callId };
        const result = await httpCall({ address: this.callerAddress, method: "POST", path, headers, timeout: 10_000 });
        return result.unwrap();
    }

    async [Symbol.asyncDispose](): Promise<void> {
        await this.store.dispose();
    }
}

describe("response that is no answer to the call", () => {
    for (const [title, stale] of Object.entries(staleResponses)) {
        for (const path of ["/bookings/a", "/drafts/a"]) {
            // Guards against calls that are reported as not run, or repeated, because an earlier refusal arrived again.
            itSerially(`is not believed on a connection in use again (${title}, ${path})`, async t => {
                await using fleet = await RecordingFleet.start((callId, socket) => {
                    socket.write(callId === "call-1" ? answerOf(callId) : stale);
                }, 2);
                // Both endpoints get a connection in use.
                while (fleet.connectionCount < 2) {
                    await Promise.all([1, 2, 3, 4].map(() => fleet.call("/look-ups/a", "call-1")));
                }
                // After a response that names another call, the call's own one is awaited until the timeout.
                t.is((await fleet.call(path, "call-2")).status, stale.includes("call-1") ? 504 : 502);
                t.is(fleet.runs.filter(callId => callId === "call-2").length, 1);
            });
        }
    }

    for (const [title, stale] of Object.entries(staleResponses).filter(([, bytes]) => bytes.includes("call-1"))) {
        // Guards against sound calls that fail because of another response on their connection.
        itSerially(`is skipped if it names another call and the call's own response follows (${title})`, async t => {
            await using fleet = await RecordingFleet.start((callId, socket) => {
                if (callId === "call-1") {
                    socket.write(answerOf(callId));
                    return;
                }
                socket.write(stale);
                setTimeout(() => {
                    socket.write(answerOf(callId));
                }, 100);
            }, 1);
            await fleet.call("/look-ups/a", "call-1");
            for (let call = 2; call < 6; call++) {
                const { status, body } = await fleet.call("/bookings/a", `call-${call}`);
                t.deepEqual([status, body.toString()], [200, "answer"]);
            }
            t.deepEqual(fleet.runs, ["call-1", "call-2", "call-3", "call-4", "call-5"]);
        });
    }

    for (const path of ["/bookings/a", "/drafts/a"]) {
        for (const ending of ["end", "resetWithData"] as const) {
            // Guards against an answer to another call that has no length, and ends with the connection (MIXED).
            itSerially(`is not forwarded if it has no length (${path}, ${ending})`, async t => {
                await using fleet = await RecordingFleet.start((callId, socket) => {
                    if (callId === "call-1") {
                        socket.write(answerOf(callId));
                        return;
                    }
                    writeAndEnd(socket, unframedAnswer, ending);
                }, 1);
                await fleet.call("/look-ups/a", "call-1");
                t.is((await fleet.call(path, "call-2")).status, 502);
            });
        }
    }

    // Guards against calls that fail although their endpoint certainly did not run them.
    itSerially("is believed without an identifier if the call is the first one on its connection", async t => {
        const refusal = staleResponses["a refusal without an identifier"] ?? "";
        await using fleet = await RecordingFleet.start((callId, socket) => {
            socket.write(callId === "" ? "" : refusal);
        }, 1);
        t.is((await fleet.call("/bookings/a", "call-1")).status, 503);
    });

    itSerially("is believed on a connection in use again if it names the call", async t => {
        await using fleet = await RecordingFleet.start((callId, socket) => {
            const refusal =
                `HTTP/1.1 503 Unavailable\r\n${notExecuted}Gullhall-Attempt-Id: ${callId}\r\nContent-Length: 0\r\n\r\n`;
            socket.write(callId === "call-1" ? answerOf(callId) : refusal);
        }, 1);
        t.is((await fleet.call("/look-ups/a", "call-1")).body.toString(), "answer");
        t.is((await fleet.call("/bookings/a", "call-2")).status, 503);
    });
});
