import type { ExecutionContext } from "ava";
import fastCheck from "fast-check";
import { readFileSync } from "node:fs";
import type { z } from "zod";
import { definitionOf } from "../../src/resultCode/resultCode.js";
import type { Failure } from "../../src/resultCode/resultCode.js";
import { controlSettingsSchema } from "../../src/settings/controlSettings.js";
import { entrySettingsSchema } from "../../src/settings/entrySettings.js";
import { JsonDocument } from "../../src/settings/jsonDocument.js";
import { operatorSettingsSchema } from "../../src/settings/operatorSettings.js";
import { parseManifest } from "../../src/version/parseManifest.js";
import { describe, it } from "../describe.js";
import { mutatedText } from "./mutatedText.js";

const folder = "examples/tas-south";

const settings: readonly (readonly [file: string, schema: z.ZodType])[] = [
    ["control.jsonc", controlSettingsSchema],
    ["entry.jsonc", entrySettingsSchema],
    ["operator.jsonc", operatorSettingsSchema],
];

function checkNumbered(t: ExecutionContext, failures: readonly Failure[]): void {
    t.true(failures.length > 0);
    t.true(failures.every(({ code }) => definitionOf(code).number >= 1000));
}

describe("documents from outside", () => {
    for (const [file, schema] of settings) {
        it(`reads or refuses any mutation of ${file}`, t => {
            const text = readFileSync(`${folder}/${file}`, "utf8");
            t.true(JsonDocument.parse(file, text).unwrap().validate(schema).ok);
            fastCheck.assert(
                fastCheck.property(mutatedText(text), mutated => {
                    const document = JsonDocument.parse(file, mutated);
                    const read = document.err ? document : document.val.validate(schema);
                    if (read.err) {
                        checkNumbered(t, read.val);
                    }
                }),
                { seed: 11, numRuns: 300 },
            );
        });
    }

    it("reads or refuses any mutation of a manifest", t => {
        const text = readFileSync(`${folder}/manifest.jsonc`, "utf8");
        t.true(parseManifest("manifest", text).ok);
        fastCheck.assert(
            fastCheck.property(mutatedText(text), mutated => {
                const read = parseManifest("manifest", mutated);
                if (read.err) {
                    checkNumbered(t, read.val);
                }
            }),
            { seed: 12, numRuns: 300 },
        );
    });

    it("reads or refuses any JSON value and any text as a manifest", t => {
        const texts = fastCheck.oneof(fastCheck.json(), fastCheck.string({ unit: "binary" }));
        fastCheck.assert(
            fastCheck.property(texts, text => {
                const read = parseManifest("manifest", text);
                t.true(read.err);
                checkNumbered(t, read.err ? read.val : []);
            }),
            { seed: 13, numRuns: 500 },
        );
    });

    it("refuses a deeply nested manifest", t => {
        const read = parseManifest("manifest", "[".repeat(100_000));
        t.true(read.err);
        checkNumbered(t, read.err ? read.val : []);
    });
});
