import { request as httpRequest } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { ClientAgent } from "../../src/connection/clientAgent.js";
import { detectResetOfUnframedBody } from "../../src/connection/clientSocket.js";
import { DisposableStore } from "../../src/util/disposableStore.js";
import { splitAddress } from "../../src/util/socketAddress.js";
import { describe, it } from "../describe.js";
import { startRawServer } from "./rawServer.js";
import type { ServerEnding } from "./rawServer.js";

const unframedHead = "HTTP/1.1 200 OK\r\n\r\n";
/** More than the buffers of a loopback connection hold. */
const longRequestBytes = 8 * 1024 * 1024;

interface ReceivedResponse {
    readonly byteCount: number;
    /** Whether the request had failed when the body ended. */
    readonly hasFailedAtEnd: boolean;
}

/** Sends a request with a body; resolves when the body of the response has ended. */
async function exchange(bytes: string, ending: ServerEnding, requestBytes: number): Promise<ReceivedResponse> {
    await using store = new DisposableStore();
    const address = await startRawServer(store, bytes, ending);
    const agent = new ClientAgent({ keepAlive: true });
    store.defer(() => {
        agent.destroy();
    });
    const headers = { "content-length": requestBytes };
    const request = httpRequest({ ...splitAddress(address), agent, method: "POST", headers });
    detectResetOfUnframedBody(request);
    let hasFailed = false;
    request.on("error", () => {
        hasFailed = true;
    });
    const response = new Promise<ReceivedResponse>(resolve => {
        request.once("response", message => {
            let byteCount = 0;
            message.on("data", (chunk: Buffer) => byteCount += chunk.length);
            message.once("end", () => {
                resolve({ byteCount, hasFailedAtEnd: hasFailed });
            });
        });
    });
    request.end(Buffer.alloc(requestBytes));
    return await response;
}

describe("ClientSocket", () => {
    for (
        const [title, requestBytes] of [["no body", 0], ["a body", 13], [
            "a body in transit",
            longRequestBytes,
        ]] as const
    ) {
        for (const bodyBytes of [500, 100_000]) {
            // Guards against a part of a body that counts as complete because a reset arrived together with it.
            it(`reports a reset that arrives with ${bodyBytes} bytes of a response to a request with ${title}`, async t => {
                const bytes = unframedHead + "x".repeat(bodyBytes);
                t.true((await exchange(bytes, "resetWithData", requestBytes)).hasFailedAtEnd);
            });
        }

        for (const ending of ["end", "endThenReset"] as const) {
            // Guards against sound responses that are rejected because the server does not read the rest of the request.
            it(`reports an orderly end (${ending}) of a response to a request with ${title}`, async t => {
                const response = await exchange(`${unframedHead}whole`, ending, requestBytes);
                t.deepEqual(response, { byteCount: 5, hasFailedAtEnd: false });
            });
        }
    }

    // Guards against bodies without a length that are cut where the reader waits.
    it("reads a long body to its orderly end while the reader pauses", async t => {
        await using store = new DisposableStore();
        const length = 2_000_000;
        const address = await startRawServer(store, unframedHead + "x".repeat(length), "end");
        const request = httpRequest({ ...splitAddress(address), agent: new ClientAgent() });
        detectResetOfUnframedBody(request);
        request.end();
        const received = await new Promise<number>((resolve, reject) => {
            request.once("error", reject);
            request.once("response", message => {
                void (async () => {
                    let byteCount = 0;
                    for await (const chunk of message as AsyncIterable<Buffer>) {
                        byteCount += chunk.length;
                        await sleep(1);
                    }
                    return byteCount;
                })().then(resolve, reject);
            });
        });
        t.is(received, length);
    });
});
