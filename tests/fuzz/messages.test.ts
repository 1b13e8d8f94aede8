import fastCheck from "fast-check";
import { entryToControlSchema } from "../../src/connection/entryMessages.js";
import { encodeFrame, FrameDecoder } from "../../src/connection/frameCodec.js";
import { checkHello, createHelloFrame, parsePeerFrame } from "../../src/connection/peerHello.js";
import type { PeerFrame } from "../../src/connection/peerMessage.js";
import { definitionOf } from "../../src/resultCode/resultCode.js";
import { describe, it } from "../describe.js";
import { mutatedBytes } from "./mutatedText.js";

const hello = { cluster: "test", memberId: "one" };

const validFrames: readonly PeerFrame[] = [
    createHelloFrame(hello),
    { kind: "goodbye", code: "peerHelloMissing" },
    { kind: "request", id: 1, request: { kind: "takeLead", group: "main", from: "a", to: "b", term: 7 } },
];

const permitRequest = {
    kind: "permitRequest",
    number: 1,
    version: 2,
    status: { draining: false, runningRequests: 3, waitingRequests: 4 },
};

describe("messages from other processes", () => {
    it("decodes or refuses any mutation of peer frames", t => {
        const bytes = fastCheck.constantFrom(...validFrames).chain(frame => mutatedBytes(encodeFrame(frame)));
        fastCheck.assert(
            fastCheck.property(bytes, mutated => {
                const received = new FrameDecoder(1000).push(mutated);
                const messages = received.ok ? received.val : [];
                for (const decoded of messages.flatMap(each => [parsePeerFrame(each), checkHello(hello, each)])) {
                    t.true(decoded.ok || definitionOf(decoded.val.code).number >= 1000);
                }
                t.true(received.ok || definitionOf(received.val.code).number >= 1000);
            }),
            { seed: 21, numRuns: 3000 },
        );
    });

    it("decodes or refuses any mutation of an entry's message", t => {
        fastCheck.assert(
            fastCheck.property(mutatedBytes(encodeFrame(permitRequest)), mutated => {
                const received = new FrameDecoder(1000).push(mutated);
                const messages = received.ok ? received.val : [];
                messages.forEach(message => entryToControlSchema.safeParse(message));
                t.true(received.ok || definitionOf(received.val.code).number >= 1000);
            }),
            { seed: 22, numRuns: 3000 },
        );
    });

    it("refuses any value that is not a message", t => {
        fastCheck.assert(
            fastCheck.property(fastCheck.anything(), value => {
                t.false(entryToControlSchema.safeParse(value).success);
                t.true(parsePeerFrame(value).err);
                t.true(checkHello(hello, value).err);
            }),
            { seed: 23, numRuns: 2000 },
        );
    });

    it("refuses a frame with a deeply nested body", t => {
        const body = Buffer.alloc(100_000, 0x81);
        const header = Buffer.alloc(4);
        header.writeUInt32BE(body.length);
        const received = new FrameDecoder().push(Buffer.concat([header, body]));
        t.is(received.err ? received.val.code : undefined, "frameMalformed");
    });
});
