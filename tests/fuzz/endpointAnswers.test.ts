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

const stream = Buffer.from([
    "data: {\"id\":\"r\",\"choices\":[{\"delta\":{\"content\":\"a\"},\"finish_reason\":null}],\"token_number\":0}",
    "data: {\"id\":\"r\",\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}],"
    + "\"usage\":{\"prompt_tokens\":1,\"completion_tokens\":1}}",
    "data: [DONE]",
    "",
].join("\n\n"));

const whole = Buffer.from(
    "{\"id\":\"r\",\"choices\":[{\"message\":{\"content\":\"a\"},\"finish_reason\":\"stop\"}],"
        + "\"usage\":{\"prompt_tokens\":1,\"completion_tokens\":1}}",
);

const loadAnswer = Buffer.from(
    "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\nconnection: close\r\n\r\n"
        + "{\"reportedAt\":1,\"runningRequests\":1,\"maximumRunningRequests\":8}",
);

/** An answer of an engine whose body comes in chunks of a size. */
function messageOf(bytes: Buffer, step: number, type: string): IncomingMessage {
    const chunks: Buffer[] = [];
    for (let start = 0; start < bytes.length; start += step) {
        chunks.push(bytes.subarray(start, start + step));
    }
    const body = Readable.from(chunks, { objectMode: false });
    return Object.assign(body, { headers: { "content-type": type } }) as unknown as IncomingMessage;
}

async function read(bytes: Buffer, step: number, type: string): Promise<{ kind: string; tokens: number; }> {
    const reader = new EngineResponseReader("r", 0, 10);
    let tokens = 0;
    const end = await reader.read(messageOf(bytes, step, type), () => {
        tokens += 1;
        return undefined;
    });
    return { kind: end.kind, tokens };
}

describe("answers of endpoints", () => {
    const cases = [["text/event-stream", stream], ["application/json", whole]] as const;
    for (const [type, bytes] of cases) {
        it(`finishes an answer of ${type}, however it is cut`, async t => {
            for (const step of [1, 7, 1000]) {
                t.deepEqual(await read(bytes, step, type), { kind: "finished", tokens: 1 });
            }
        });

        it(`ends any mutation of an answer of ${type} as finished or broken`, async t => {
            await fastCheck.assert(
                fastCheck.asyncProperty(
                    mutatedBytes(bytes),
                    fastCheck.integer({ min: 1, max: 60 }),
                    async (cut, step) => {
                        const end = await read(cut, step, type);
                        t.true(end.kind === "broken" || end.tokens === 1);
                    },
                ),
                { seed: 31, numRuns: 400 },
            );
        });
    }

    it("takes any bytes as the answer to a question for load or cache events", async t => {
        let next: Buffer = loadAnswer;
        const server = createServer(socket => {
            socket.on("error", () => undefined);
            socket.once("data", () => {
                socket.end(next);
            });
        });
        const address = await listen(server, "127.0.0.1:0");
        // A probe that a busy machine delays beyond its own time limit is repeated.
        let first = await fetchLoadReport(address);
        while (first.kind === "silent" && !first.refused) {
            first = await fetchLoadReport(address);
        }
        t.is(first.kind, "report");
        await fastCheck.assert(
            fastCheck.asyncProperty(mutatedBytes(loadAnswer), async mutated => {
                next = mutated;
                t.true(["report", "leaving", "noReport", "silent"].includes((await fetchLoadReport(address)).kind));
                await fetchCacheEvents(address, 0);
            }),
            { seed: 32, numRuns: 60 },
        );
        server.close();
        await once(server, "close");
    });
});
