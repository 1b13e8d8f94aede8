import { readFile } from "node:fs/promises";
import { readAside, readNow } from "../../../src/process/control/manifestReader.js";
import { describe, it } from "../../describe.js";

/** Blanks that make a text too long to be read at once. */
const padding = " ".repeat(300 * 1024);

describe("readAside", () => {
    for (
        const [title, change, valid] of [
            ["a valid manifest", (text: string) => text, true],
            ["a faulty manifest", (text: string) => text.replaceAll("\"requestClass\"", "\"requestClas\""), false],
        ] as const
    ) {
        it(`reads ${title} in a thread as it reads it at once`, async t => {
            const text = change(await readFile("examples/mu-island/manifest.jsonc", "utf8"));
            const aside = await readAside({ file: "m", text: text + padding });
            t.is(aside.ok, valid);
            const now = readNow({ file: "m", text });
            t.deepEqual(aside.val, now.kind === "valid" ? now.checked : now.failures);
        });
    }
});
