import { featuresOf } from "../../../src/request/hosted/callFeatures.js";
import type { CallContent } from "../../../src/request/hosted/callFeatures.js";
import { describe, it } from "../../describe.js";

const content: CallContent = { method: "POST", target: "/a?b", team: "clinic", body: Buffer.from("text") };

describe("featuresOf", () => {
    it("are the segments of the prompt but for the last one, and the content of the call", t => {
        const segments = [{ id: "1", tokens: 5 }, { id: "2", tokens: 5 }, { id: "1", tokens: 5 }, {
            id: "3",
            tokens: 5,
        }];
        const features = featuresOf(segments, content);
        t.deepEqual(features.slice(0, 2), ["segment:1", "segment:2"]);
        t.regex(features[2] ?? "", /^call:[0-9a-f]{32}$/);
        t.is(features.length, 3);
    });

    it("are the same only for the same method, target, team and body", t => {
        const changes: readonly Partial<CallContent>[] = [
            {},
            { method: "GET" },
            { target: "/a" },
            { team: undefined },
            { body: undefined },
            { body: Buffer.from("other") },
        ];
        const features = changes.map(change => featuresOf([], { ...content, ...change }).join());
        t.is(new Set(features).size, changes.length);
        t.is(features[0], featuresOf([], { ...content }).join());
    });

    // Guards against different prompts that are held back as if they were one call.
    it("tell calls apart by their prompts if they have no body", t => {
        const callFeatureOf = (last: string, body: Buffer | undefined): string | undefined =>
            featuresOf([{ id: "1", tokens: 5 }, { id: last, tokens: 5 }], { ...content, body }).at(-1);
        for (const body of [undefined, Buffer.alloc(0)]) {
            t.not(callFeatureOf("2", body), callFeatureOf("3", body));
            t.is(callFeatureOf("2", body), callFeatureOf("2", body));
        }
        t.is(callFeatureOf("2", content.body), callFeatureOf("3", content.body), "the body is what a call repeats");
    });

    it("stay bounded however many and long the segments are", t => {
        const segments = Array.from(Array(500).keys(), index => ({ id: `${index}`.repeat(100), tokens: 1 }));
        const features = featuresOf(segments, content);
        t.is(features.length, 64);
        t.true(features.every(feature => feature.length <= "segment:".length + 64));
    });
});
