import fastCheck from "fast-check";
import {
    DeterministicCompletion,
    expectedCompletion,
} from "../../../src/standIn/modelEngine/deterministicCompletion.js";
import { describe, it } from "../../describe.js";

describe("AnswerPlan", () => {
    it("is deterministic, and its parts concatenate to the whole at any position", t => {
        fastCheck.assert(
            fastCheck.property(fastCheck.string(), fastCheck.string(), fastCheck.nat(100), (model, prompt, cut) => {
                const completion = new DeterministicCompletion(model, prompt);
                const length = completion.tokenCount(100);
                const start = Math.min(cut, length);
                t.is(
                    completion.text(0, start) + completion.text(start, length),
                    expectedCompletion(model, prompt, 100),
                );
            }),
            { seed: 11 },
        );
    });

    it("differs between prompts and between models", t => {
        const prompts = [...Array(500).keys()].map(index => `prompt ${index}`);
        const texts = prompts.flatMap(prompt =>
            ["alpha", "beta"].map(model => new DeterministicCompletion(model, prompt).text(0, 4))
        );
        t.is(new Set(texts).size, texts.length);
    });

    it("takes its length from the marker in the prompt, limited by the caller", t => {
        const completion = new DeterministicCompletion("alpha", "hello [answer-tokens: 37]");
        t.deepEqual([completion.tokenCount(undefined), completion.tokenCount(10), completion.tokenCount(100)], [
            37,
            10,
            37,
        ]);
    });

    it("samples varying lengths within bounds when the prompt has no marker", t => {
        const lengths = [...Array(300).keys()].map(index =>
            new DeterministicCompletion("m", `${index}`).fullTokenCount
        );
        t.true(Math.min(...lengths) >= 1 && Math.max(...lengths) <= 1000);
        t.true(new Set(lengths).size > 100);
    });
});
