import { processorTimeIn, readProcessUsage, residentBytesIn } from "../../src/experiment/processUsage.js";
import { describe, it } from "../describe.js";

describe("processUsage", () => {
    it("finds the times after a command's name with blanks and parentheses", t => {
        t.is(processorTimeIn("17 (a (b) c) S 1 17 17 0 -1 4194304 100 0 0 0 250 50 0 0 20 0"), 3000);
    });

    it("reads resident memory in bytes", t => {
        t.is(residentBytesIn("Name:\tnode\nVmHWM:\t  90 kB\nVmRSS:\t   64 kB\n"), 65_536);
    });

    it("reads the present process", async t => {
        const usage = await readProcessUsage(process.pid);
        t.true(usage.processorTime > 0);
        t.true(usage.residentBytes > 1024 * 1024);
    });
});
