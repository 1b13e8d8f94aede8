import fastCheck from "fast-check";
import { encodeFrame, FrameReader } from "../../src/connection/frameCodec.js";
import { describe, it } from "../describe.js";

describe("FrameReader", () => {
    describe("push", () => {
        it("returns the messages in order, however the bytes are cut", t => {
            fastCheck.assert(
                fastCheck.property(
                    fastCheck.array(fastCheck.record({ text: fastCheck.string(), count: fastCheck.nat() })),
                    fastCheck.integer({ min: 1, max: 40 }),
                    (messages, step) => {
                        const bytes = Buffer.concat(messages.map(encodeFrame));
                        const reader = new FrameReader();
                        const received: unknown[] = [];
                        for (let start = 0; start < bytes.length; start += step) {
                            received.push(...reader.push(bytes.subarray(start, start + step)).unwrap());
                        }
                        t.deepEqual(received, messages);
                    },
                ),
                { seed: 1 },
            );
        });

        it("refuses a frame above the limit before its body arrives", t => {
            const outcome = new FrameReader().push(Buffer.from([0x40, 0, 0, 0]));
            t.true(outcome.err);
            t.is(outcome.err ? outcome.val.code : undefined, "frameTooLarge");
        });

        it("refuses or decodes any bytes without throwing", t => {
            fastCheck.assert(
                fastCheck.property(fastCheck.uint8Array({ maxLength: 200 }), bytes => {
                    const outcome = new FrameReader(100).push(Buffer.from(bytes));
                    t.true(outcome.ok || ["frameTooLarge", "frameMalformed"].includes(outcome.val.code));
                }),
                { seed: 2 },
            );
        });
    });
});
