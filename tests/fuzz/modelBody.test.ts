import fastCheck from "fast-check";
import { parseModelRequestBody } from "../../src/request/model/modelRequestBody.js";
import { definitionOf } from "../../src/resultCode/resultCode.js";
import { describe, it } from "../describe.js";
import { mutatedBytes } from "./mutatedText.js";

const body = Buffer.from(
    "{\"model\":\"m\",\"stream\":true,\"max_tokens\":9,\"messages\":[{\"role\":\"user\",\"content\":[{\"text\":\"\\\"[\"}]}]}",
);

describe("readModelBody", () => {
    it("reads or refuses any mutation of a body", t => {
        t.true(parseModelRequestBody("chat", body).ok);
        fastCheck.assert(
            fastCheck.property(mutatedBytes(body), fastCheck.constantFrom("chat", "completion"), (mutated, form) => {
                const read = parseModelRequestBody(form, mutated);
                t.true(read.ok || definitionOf(read.val.code).number >= 1000);
            }),
            { seed: 51, numRuns: 2000 },
        );
    });

    it("refuses a body that nests too deeply to be written again", t => {
        const nested = `${"[".repeat(100_000)}${"]".repeat(100_000)}`;
        const read = parseModelRequestBody(
            "chat",
            Buffer.from(`{"model":"m","messages":[{"role":"user","content":${nested}}]}`),
        );
        t.is(read.err ? read.val.code : undefined, "bodyMalformed");
    });
});
