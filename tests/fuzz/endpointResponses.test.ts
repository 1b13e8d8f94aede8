import fastCheck from "fast-check";
import { once } from "node:events";
import type { IncomingMessage } from "node:http";
import { createServer } from "node:net";
import { Readable } from "node:stream";
import { fetchCacheEvents, fetchLoadReport } from "../../src/connection/entry/endpointProbe.js";
import { EngineResponseReader } from "../../src/request/model/engineResponse.js";
import { listen } from "../../src/util/socketAddress.js";
import { describe, it } from "../describe.js";
import { mutatedBytes } from "./mutatedText.js";

const streamedResponse = Buffer.from([
    "data: {\"id\":\"r\",\"choices\":[{\"delta\":{\"content\":\"a\"},\"finish_reason\":null}],\"token_number\":0}",
    "data: {\"id\":\"r\",\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}],"
    + "\"usage\":{\"prompt_tokens\":1,\"completion_tokens\":1}}",
    "data: [DONE]",
    "",
].join("\n\n"));

const jsonResponse = Buffer.from(
    "{\"id\":\"r\",\"choices\":[{\"message\":{\"content\":\"a\"},\"finish_reason\":\"stop\"}],"
        + "\"usage\":{\"prompt_tokens\":1,\"completion_tokens\":1}}",
);

const loadResponse = Buffer.from(
    "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\nconnection: close\r\n\r\n"
        + "{\"reportedAt\":1,\"runningRequests\":1,\"maximumRunningRequests\":8}",
);

/** Creates a response of an engine whose body arrives in chunks of a size in bytes. */
function createResponse(bytes: Buffer, chunkSize: number, contentType: string): IncomingMessage {
    const chunks: Buffer[] = [];
    for (let start = 0; start < bytes.length; start += chunkSize) {
        chunks.push(bytes.subarray(start, start + chunkSize));
    }
    const body = Readable.from(chunks, { objectMode: false });
    return Object.assign(body, { headers: { "content-type": contentType } }) as unknown as IncomingMessage;
}

/** Reads a response in chunks of a size in bytes; returns the kind of the result and the number of tokens. */
async function readResponse(
    bytes: Buffer,
    chunkSize: number,
    contentType: string,
): Promise<{ kind: string; tokens: number; }> {
    const reader = new EngineResponseReader("r", 0, 10);
    let tokens = 0;
    const result = await reader.read(createResponse(bytes, chunkSize, contentType), () => {
        tokens += 1;
        return undefined;
    });
    return { kind: result.kind, tokens };
}

describe("responses of endpoints", () => {
    const cases = [["text/event-stream", streamedResponse], ["application/json", jsonResponse]] as const;
    for (const [contentType, bytes] of cases) {
        it(`reads a response of type ${contentType} to the end for any chunk size`, async t => {
            for (const chunkSize of [1, 7, 1000]) {
                t.deepEqual(await readResponse(bytes, chunkSize, contentType), { kind: "finished", tokens: 1 });
            }
        });

        it(`reads any mutation of a response of type ${contentType} as finished or broken`, async t => {
            await fastCheck.assert(
                fastCheck.asyncProperty(
                    mutatedBytes(bytes),
                    fastCheck.integer({ min: 1, max: 60 }),
                    async (mutated, chunkSize) => {
                        const result = await readResponse(mutated, chunkSize, contentType);
                        t.true(result.kind === "broken" || result.tokens === 1);
                    },
                ),
                { seed: 31, numRuns: 400 },
            );
        });
    }

    it("accepts any bytes as the response to a request for the load report or cache events", async t => {
        let responseBytes: Buffer = loadResponse;
        const server = createServer(socket => {
            socket.on("error", () => undefined);
            socket.once("data", () => {
                socket.end(responseBytes);
            });
        });
        const address = await listen(server, "127.0.0.1:0");
        // Repeats a probe that timed out because the machine is busy.
        let probeResult = await fetchLoadReport(address);
        while (probeResult.kind === "silent" && !probeResult.refused) {
            probeResult = await fetchLoadReport(address);
        }
        t.is(probeResult.kind, "report");
        await fastCheck.assert(
            fastCheck.asyncProperty(mutatedBytes(loadResponse), async mutated => {
                responseBytes = mutated;
                t.true(["report", "leaving", "noReport", "silent"].includes((await fetchLoadReport(address)).kind));
                await fetchCacheEvents(address, 0);
            }),
            { seed: 32, numRuns: 60 },
        );
        server.close();
        await once(server, "close");
    });
});
