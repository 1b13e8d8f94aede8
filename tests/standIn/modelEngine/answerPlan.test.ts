import fastCheck from "fast-check";
import { AnswerPlan, expectedAnswer } from "../../../src/standIn/modelEngine/answerPlan.js";
import { describe, it } from "../../describe.js";

describe("AnswerPlan", () => {
    it("gives equal answers to equal prompts, and text that joins at any place", t => {
        fastCheck.assert(
            fastCheck.property(fastCheck.string(), fastCheck.string(), fastCheck.nat(100), (model, prompt, cut) => {
                const plan = new AnswerPlan(model, prompt);
                const length = plan.length(100);
                const start = Math.min(cut, length);
                t.is(plan.text(0, start) + plan.text(start, length), expectedAnswer(model, prompt, 100));
            }),
            { seed: 11 },
        );
    });

    it("gives unlike answers to unlike prompts and models", t => {
        const prompts = [...Array(500).keys()].map(index => `prompt ${index}`);
        const answers = prompts.flatMap(prompt =>
            ["alpha", "beta"].map(model => new AnswerPlan(model, prompt).text(0, 4))
        );
        t.is(new Set(answers).size, answers.length);
    });

    it("takes its length from the prompt's mark, bounded by the caller", t => {
        const plan = new AnswerPlan("alpha", "hello [answer-tokens: 37]");
        t.deepEqual([plan.length(undefined), plan.length(10), plan.length(100)], [37, 10, 37]);
    });

    it("draws unlike lengths within bounds where no mark is", t => {
        const lengths = [...Array(300).keys()].map(index => new AnswerPlan("m", `${index}`).naturalLength);
        t.true(Math.min(...lengths) >= 1 && Math.max(...lengths) <= 1000);
        t.true(new Set(lengths).size > 100);
    });
});
