import fastCheck from "fast-check";
import type { IncomingMessage } from "node:http";
import { Readable } from "node:stream";
import { EngineResponseReader } from "../../../src/request/model/engineResponse.js";
import { describe, it } from "../../describe.js";

/**
 * Fault at the chunk of one token: it is sent twice, a chunk of another request or the previous token is sent before
 * it, it is missing, or the stream ends within it.
 */
type ChunkFault = "none" | "twice" | "foreign" | "late" | "lost" | "cut";

const chunkFaults: readonly ChunkFault[] = ["none", "none", "none", "none", "twice", "foreign", "late", "lost", "cut"];

function chunk(id: string, number: number, last: boolean, total: number): string {
    const usage = last ? { usage: { prompt_tokens: 1, completion_tokens: total, cached_tokens: 0 } } : {};
    const choices = [{ index: 0, delta: { content: `t${number} ` }, finish_reason: last ? "stop" : undefined }];
    return `data: ${JSON.stringify({ id, choices, token_number: number, ...usage })}\n\n`;
}

function createStream(plan: readonly ChunkFault[]): string {
    let text = "";
    for (const [number, fault] of plan.entries()) {
        const own = chunk("own", number, number === plan.length - 1, plan.length);
        if (fault === "cut") {
            return text + own.slice(0, own.length / 2);
        }
        text += fault === "foreign" ? chunk("other", number, false, 1) : "";
        text += fault === "late" && number > 0 ? chunk("own", number - 1, false, 1) : "";
        text += fault === "lost" ? "" : own;
        text += fault === "twice" ? own : "";
    }
    return `${text}data: [DONE]\n\n`;
}

async function read(
    bytes: string,
    splitPositions: readonly number[],
    maximumTokens = 1_000,
): Promise<readonly [string, string, number]> {
    const boundaries = [...new Set([0, ...splitPositions.map(position => position % (bytes.length + 1)), bytes.length])]
        .sort((a, b) => a - b);
    const parts = boundaries.slice(1).map((edge, index) => Buffer.from(bytes.slice(boundaries[index], edge)));
    const message = Object.assign(Readable.from(parts), { headers: { "content-type": "text/event-stream" } });
    const reader = new EngineResponseReader("own", 0, maximumTokens);
    let text = "";
    const end = await reader.read(message as unknown as IncomingMessage, content => {
        text += content;
        return undefined;
    });
    return [end.kind, text, reader.foreignChunks];
}

describe("EngineResponseReader", () => {
    it("delivers each token once and in order, and reports a response as finished only if it is complete", async t => {
        const plans = fastCheck.array(fastCheck.constantFrom(...chunkFaults), { minLength: 1, maxLength: 30 });
        const property = fastCheck.asyncProperty(
            plans,
            fastCheck.array(fastCheck.nat(), { maxLength: 8 }),
            async (plan, splitPositions) => {
                const firstBreak = plan.findIndex((fault, index) =>
                    fault === "cut" || (fault === "lost" && plan[index + 1] !== "late")
                );
                const delivered = firstBreak < 0 ? plan.length : firstBreak;
                const [kind, text, foreign] = await read(createStream(plan), splitPositions);
                t.is(kind, firstBreak < 0 ? "finished" : "broken");
                t.is(text, Array.from(Array(delivered).keys(), number => `t${number} `).join(""));
                const isForeign = (fault: ChunkFault): boolean => fault === "foreign";
                // A gap is detected at the next token of the request; foreign chunks before it are still counted.
                t.true(foreign >= plan.slice(0, delivered).filter(isForeign).length);
                t.true(foreign <= plan.filter(isForeign).length);
            },
        );
        await fastCheck.assert(property, { seed: 23, numRuns: 300 });
    });

    it("reports a response with more than the maximum number of tokens as broken", async t => {
        const [kind, text] = await read(createStream(["none", "none", "none", "none"]), [], 3);
        t.deepEqual([kind, text], ["broken", "t0 t1 t2 "]);
    });

    it("reports a malformed event and an empty response as broken", async t => {
        t.is((await read("data: {\n\n", []))[0], "broken");
        t.is((await read("", []))[0], "broken");
    });
});
