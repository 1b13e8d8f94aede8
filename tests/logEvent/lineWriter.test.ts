import { closeSync, openSync, readFileSync } from "node:fs";
import { mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { LineWriter } from "../../src/logEvent/lineWriter.js";
import { describe, it } from "../describe.js";

async function collectLines(action: (writer: LineWriter) => void): Promise<readonly string[]> {
    const folder = await mkdtemp(join(tmpdir(), "gullhall-lines-"));
    const file = join(folder, "log");
    const descriptor = openSync(file, "w");
    const writer = new LineWriter(descriptor, lines => `dropped ${lines}`);
    action(writer);
    writer.end();
    closeSync(descriptor);
    const lines = readFileSync(file, "utf8").split("\n").slice(0, -1);
    await rm(folder, { recursive: true });
    return lines;
}

describe("LineWriter", () => {
    it("writes lines in order", async t => {
        const lines = await collectLines(writer => {
            ["a", "b", "c"].forEach(line => {
                writer.write(line);
            });
        });
        t.deepEqual(lines, ["a", "b", "c"]);
    });

    it("limits the buffer and reports how many lines were dropped", async t => {
        const lines = await collectLines(writer => {
            for (let index = 0; index < 1_000; index++) {
                writer.write("x".repeat(1_000));
            }
        });
        t.true(lines.length < 300);
        t.is(lines.at(-1), `dropped ${1_000 - (lines.length - 1)}`);
    });
});
