import { parseCpuTime, parseResidentBytes, readProcessUsage } from "../../src/experiment/processUsage.js";
import { describe, it } from "../describe.js";

describe("processUsage", () => {
    it("parses the CPU time after a command name with spaces and parentheses", t => {
        t.is(parseCpuTime("17 (a (b) c) S 1 17 17 0 -1 4194304 100 0 0 0 250 50 0 0 20 0"), 3000);
    });

    it("parses the resident set size in bytes", t => {
        t.is(parseResidentBytes("Name:\tnode\nVmHWM:\t  90 kB\nVmRSS:\t   64 kB\n"), 65_536);
    });

    it("reads the usage of the current process", async t => {
        const usage = await readProcessUsage(process.pid);
        t.true(usage.cpuTime > 0);
        t.true(usage.residentBytes > 1024 * 1024);
    });
});
