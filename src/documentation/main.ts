/** Writes the generated parts of the pages anew; run as `npm run docs` after a change of catalogues or settings. */
import { readFile, writeFile } from "node:fs/promises";
import { generatedSections, replaceSection } from "./generatedSections.js";

for (const { page, name, content } of generatedSections) {
    const text = await readFile(page, "utf8");
    const written = replaceSection(text, name, content());
    if (written === undefined) {
        throw new Error(`${page} has no marks for "${name}".`);
    }
    await writeFile(page, written);
}
