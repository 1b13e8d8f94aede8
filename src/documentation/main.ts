/** Regenerates sections of documentation pages; run it with `npm run docs` after changing catalogues or schemas. */
import { readFile, writeFile } from "node:fs/promises";
import { generatedSections, replaceSection } from "./generatedSections.js";

for (const { page, name, content } of generatedSections) {
    const text = await readFile(page, "utf8");
    const written = replaceSection(text, name, content());
    if (written === undefined) {
        throw new Error(`${page} has no section "${name}".`);
    }
    await writeFile(page, written);
}
