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

const exampleFolder = "examples/tas-south";

const settingsSchemas: readonly (readonly [file: string, schema: z.ZodType])[] = [
    ["control.jsonc", controlSettingsSchema],
    ["entry.jsonc", entrySettingsSchema],
    ["operator.jsonc", operatorSettingsSchema],
];

/** Asserts that there is at least one failure and that each has a result code. */
function checkResultCodes(t: ExecutionContext, failures: readonly Failure[]): void {
    t.true(failures.length > 0);
    t.true(failures.every(({ code }) => definitionOf(code).number >= 1000));
}

describe("settings and manifests", () => {
    for (const [file, schema] of settingsSchemas) {
        it(`reads or refuses any mutation of ${file}`, t => {
            const text = readFileSync(`${exampleFolder}/${file}`, "utf8");
            t.true(JsonDocument.parse(file, text).unwrap().validate(schema).ok);
            fastCheck.assert(
                fastCheck.property(mutatedText(text), mutated => {
                    const document = JsonDocument.parse(file, mutated);
                    const result = document.err ? document : document.val.validate(schema);
                    if (result.err) {
                        checkResultCodes(t, result.val);
                    }
                }),
                { seed: 11, numRuns: 300 },
            );
        });
    }

    it("reads or refuses any mutation of a manifest", t => {
        const text = readFileSync(`${exampleFolder}/manifest.jsonc`, "utf8");
        t.true(parseManifest("manifest", text).ok);
        fastCheck.assert(
            fastCheck.property(mutatedText(text), mutated => {
                const result = parseManifest("manifest", mutated);
                if (result.err) {
                    checkResultCodes(t, result.val);
                }
            }),
            { seed: 12, numRuns: 300 },
        );
    });

    it("reads or refuses any JSON value and any text as a manifest", t => {
        const texts = fastCheck.oneof(fastCheck.json(), fastCheck.string({ unit: "binary" }));
        fastCheck.assert(
            fastCheck.property(texts, text => {
                const result = parseManifest("manifest", text);
                t.true(result.err);
                checkResultCodes(t, result.err ? result.val : []);
            }),
            { seed: 13, numRuns: 500 },
        );
    });

    it("refuses a deeply nested manifest", t => {
        const result = parseManifest("manifest", "[".repeat(100_000));
        t.true(result.err);
        checkResultCodes(t, result.err ? result.val : []);
    });
});
