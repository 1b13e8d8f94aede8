import fastCheck from "fast-check";
import type { IncomingMessage } from "node:http";
import { Readable } from "node:stream";
import { EngineResponseReader } from "../../../src/request/model/engineResponse.js";
import { describe, it } from "../../describe.js";

/** What happens to the chunk of one token on its way. */
type Mishap = "none" | "twice" | "foreign" | "late" | "lost" | "cut";

const mishaps: readonly Mishap[] = ["none", "none", "none", "none", "twice", "foreign", "late", "lost", "cut"];

function chunk(id: string, number: number, last: boolean, total: number): string {
    const usage = last ? { usage: { prompt_tokens: 1, completion_tokens: total, cached_tokens: 0 } } : {};
    const choices = [{ index: 0, delta: { content: `t${number} ` }, finish_reason: last ? "stop" : undefined }];
    return `data: ${JSON.stringify({ id, choices, token_number: number, ...usage })}\n\n`;
}

function streamOf(plan: readonly Mishap[]): string {
    let text = "";
    for (const [number, mishap] of plan.entries()) {
        const own = chunk("own", number, number === plan.length - 1, plan.length);
        if (mishap === "cut") {
            return text + own.slice(0, own.length / 2);
        }
        text += mishap === "foreign" ? chunk("other", number, false, 1) : "";
        text += mishap === "late" && number > 0 ? chunk("own", number - 1, false, 1) : "";
        text += mishap === "lost" ? "" : own;
        text += mishap === "twice" ? own : "";
    }
    return `${text}data: [DONE]\n\n`;
}

async function read(
    bytes: string,
    cuts: readonly number[],
    maximum = 1_000,
): Promise<readonly [string, string, number]> {
    const edges = [...new Set([0, ...cuts.map(cut => cut % (bytes.length + 1)), bytes.length])].sort((a, b) => a - b);
    const parts = edges.slice(1).map((edge, index) => Buffer.from(bytes.slice(edges[index], edge)));
    const message = Object.assign(Readable.from(parts), { headers: { "content-type": "text/event-stream" } });
    const reader = new EngineResponseReader("own", 0, maximum);
    let text = "";
    const end = await reader.read(message as unknown as IncomingMessage, content => {
        text += content;
        return undefined;
    });
    return [end.kind, text, reader.crossedChunks];
}

describe("EngineAnswerReader", () => {
    it("passes each token on once and in order, and calls an answer finished only when it is whole", async t => {
        const plans = fastCheck.array(fastCheck.constantFrom(...mishaps), { minLength: 1, maxLength: 30 });
        const property = fastCheck.asyncProperty(
            plans,
            fastCheck.array(fastCheck.nat(), { maxLength: 8 }),
            async (plan, cuts) => {
                const firstBreak = plan.findIndex((mishap, index) =>
                    mishap === "cut" || (mishap === "lost" && plan[index + 1] !== "late")
                );
                const delivered = firstBreak < 0 ? plan.length : firstBreak;
                const [kind, text, foreign] = await read(streamOf(plan), cuts);
                t.is(kind, firstBreak < 0 ? "finished" : "broken");
                t.is(text, Array.from(Array(delivered).keys(), number => `t${number} `).join(""));
                const isForeign = (mishap: Mishap): boolean => mishap === "foreign";
                // A lost token shows at the next own one, until which foreign chunks still count.
                t.true(foreign >= plan.slice(0, delivered).filter(isForeign).length);
                t.true(foreign <= plan.filter(isForeign).length);
            },
        );
        await fastCheck.assert(property, { seed: 23, numRuns: 300 });
    });

    it("breaks off an answer that is longer than was allowed", async t => {
        const [kind, text] = await read(streamOf(["none", "none", "none", "none"]), [], 3);
        t.deepEqual([kind, text], ["broken", "t0 t1 t2 "]);
    });

    it("breaks off at bytes that are no event", async t => {
        t.is((await read("data: {\n\n", []))[0], "broken");
        t.is((await read("", []))[0], "broken");
    });
});
