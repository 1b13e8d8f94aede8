import fastCheck from "fast-check";
import { encodeFrame, FrameDecoder } from "../../src/connection/frameCodec.js";
import { describe, it } from "../describe.js";

describe("FrameDecoder", () => {
    describe("push", () => {
        it("returns the messages in order for any chunk size", t => {
            fastCheck.assert(
                fastCheck.property(
                    fastCheck.array(fastCheck.record({ text: fastCheck.string(), count: fastCheck.nat() })),
                    fastCheck.integer({ min: 1, max: 40 }),
                    (messages, step) => {
                        const bytes = Buffer.concat(messages.map(encodeFrame));
                        const decoder = new FrameDecoder();
                        const received: unknown[] = [];
                        for (let start = 0; start < bytes.length; start += step) {
                            received.push(...decoder.push(bytes.subarray(start, start + step)).unwrap());
                        }
                        t.deepEqual(received, messages);
                    },
                ),
                { seed: 1 },
            );
        });

        it("rejects a frame above the limit before its body arrives", t => {
            const result = new FrameDecoder().push(Buffer.from([0x40, 0, 0, 0]));
            t.true(result.err);
            t.is(result.err ? result.val.code : undefined, "frameTooLarge");
        });

        // Guards against processes that send much before they have introduced themselves.
        it("rejects a first frame above its own limit, and accepts such a frame later", t => {
            const large = encodeFrame("x".repeat(50));
            const first = new FrameDecoder(100, 20).push(large);
            t.is(first.err ? first.val.code : undefined, "frameTooLarge");
            t.true(new FrameDecoder(100, 20).push(Buffer.concat([encodeFrame("hello"), large])).ok);
        });

        it("decodes or rejects any bytes without throwing", t => {
            fastCheck.assert(
                fastCheck.property(fastCheck.uint8Array({ maxLength: 200 }), bytes => {
                    const result = new FrameDecoder(100).push(Buffer.from(bytes));
                    t.true(result.ok || ["frameTooLarge", "frameMalformed"].includes(result.val.code));
                }),
                { seed: 2 },
            );
        });
    });
});
