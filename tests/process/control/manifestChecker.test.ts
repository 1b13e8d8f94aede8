import { readFile } from "node:fs/promises";
import { checkManifest, checkManifestSync } from "../../../src/process/control/manifestChecker.js";
import { describe, it } from "../../describe.js";

/** Spaces that make a text long enough to be checked in a worker thread. */
const padding = " ".repeat(300 * 1024);

describe("checkManifest", () => {
    for (
        const [title, change, valid] of [
            ["a valid manifest", (text: string) => text, true],
            ["an invalid manifest", (text: string) => text.replaceAll("\"requestClass\"", "\"requestClas\""), false],
        ] as const
    ) {
        it(`returns the same result for ${title} from a worker thread as from the calling thread`, async t => {
            const text = change(await readFile("examples/mu-island/manifest.jsonc", "utf8"));
            const workerResult = await checkManifest({ file: "m", text: text + padding });
            t.is(workerResult.ok, valid);
            const syncResult = checkManifestSync({ file: "m", text });
            t.deepEqual(workerResult.val, syncResult.kind === "valid" ? syncResult.checked : syncResult.failures);
        });
    }
});
