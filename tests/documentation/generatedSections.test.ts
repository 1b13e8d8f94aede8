import { readFile } from "node:fs/promises";
import { generatedSections, replaceSection } from "../../src/documentation/generatedSections.js";
import { logEvents } from "../../src/logEvent/logEvent.js";
import { resultCodes } from "../../src/resultCode/resultCode.js";
import { describe, it } from "../describe.js";

describe("documentation pages", () => {
    for (const { page, name, content } of generatedSections) {
        it(`section "${name}" of ${page} is up to date (otherwise run: npm run docs)`, async t => {
            const text = await readFile(page, "utf8");
            t.is(replaceSection(text, name, content()), text);
        });
    }
});

describe("settings tables", () => {
    it("describe every property", async t => {
        const rows = (await readFile("docs/OPERATIONS.md", "utf8")).split("\n").filter(line => line.startsWith("| `"));
        t.true(rows.length > 100);
        t.deepEqual(rows.filter(row => /\|\s+\|$/.test(row) && !row.includes("gullhall_")), []);
    });
});

describe("catalogues", () => {
    for (const [catalogue, entries] of [["result codes", resultCodes], ["log events", logEvents]] as const) {
        it(`${catalogue} have unique numbers`, t => {
            const numbers = Object.values<{ readonly number: number; }>(entries).map(entry => entry.number);
            t.is(new Set(numbers).size, numbers.length);
        });
    }

    it("no event field has the name of a member that every line has", t => {
        const reserved = new Set(["time", "level", "process", "event", "id", "text"]);
        const fields = Object.values(logEvents).flatMap<string>(event => event.fields);
        t.deepEqual(fields.filter(field => reserved.has(field)), []);
    });

    it("every text and advice is a sentence", t => {
        for (const { text, advice } of Object.values(resultCodes)) {
            t.regex(text, /^[A-Z{].*[.}]$/);
            t.regex(advice, /^[A-Z].*\.$/);
        }
    });
});

describe("replaceSection", () => {
    it("keeps the rest of the page", t => {
        const page = "before\n<!-- generated: x -->\nold\n<!-- end: x -->\nafter\n";
        t.is(
            replaceSection(page, "x", "new"),
            "before\n<!-- generated: x -->\n\nnew\n\n<!-- end: x -->\nafter\n",
        );
        t.is(replaceSection(page, "y", "new"), undefined);
    });
});
