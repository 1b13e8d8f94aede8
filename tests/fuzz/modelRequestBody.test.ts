import fastCheck from "fast-check";
import { parseModelRequestBody } from "../../src/request/model/modelRequestBody.js";
import { definitionOf } from "../../src/resultCode/resultCode.js";
import { describe, it } from "../describe.js";
import { mutatedBytes } from "./mutatedText.js";

const validBody = Buffer.from(
    "{\"model\":\"m\",\"stream\":true,\"max_tokens\":9,\"messages\":[{\"role\":\"user\",\"content\":[{\"text\":\"\\\"[\"}]}]}",
);

describe("parseModelRequestBody", () => {
    it("reads or refuses any mutation of a body", t => {
        t.true(parseModelRequestBody("chat", validBody).ok);
        fastCheck.assert(
            fastCheck.property(
                mutatedBytes(validBody),
                fastCheck.constantFrom("chat", "completion"),
                (mutated, form) => {
                    const result = parseModelRequestBody(form, mutated);
                    t.true(result.ok || definitionOf(result.val.code).number >= 1000);
                },
            ),
            { seed: 51, numRuns: 2000 },
        );
    });

    it("refuses a body that is nested too deeply to be serialized again", t => {
        const nested = `${"[".repeat(100_000)}${"]".repeat(100_000)}`;
        const result = parseModelRequestBody(
            "chat",
            Buffer.from(`{"model":"m","messages":[{"role":"user","content":${nested}}]}`),
        );
        t.is(result.err ? result.val.code : undefined, "bodyMalformed");
    });
});
