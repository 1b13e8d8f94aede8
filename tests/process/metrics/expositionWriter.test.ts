import { EntryMetrics } from "../../../src/process/entry/entryMetrics.js";
import { ExpositionWriter } from "../../../src/process/metrics/expositionWriter.js";
import { describe, it } from "../../describe.js";

describe("ExpositionWriter", () => {
    it("writes each family as one block with HELP and TYPE, and omits empty families", t => {
        const writer = new ExpositionWriter();
        writer.family("a", "gauge", "First\nline \\ help.");
        writer.family("b", "counter", "Nothing.");
        writer.family("c", "summary", "Third.");
        writer.sample("c", {}, Infinity, "_count");
        writer.sample("a", { x: "q\"u\\o\nte", y: "2" }, 1.5);
        writer.sample("c", {}, Number.NaN, "_sum");
        t.is(
            writer.toString(),
            [
                "# HELP a First\\nline \\\\ help.",
                "# TYPE a gauge",
                "a{x=\"q\\\"u\\\\o\\nte\",y=\"2\"} 1.5",
                "# HELP c Third.",
                "# TYPE c summary",
                "c_count +Inf",
                "c_sum NaN",
                "",
            ].join("\n"),
        );
    });
});

describe("EntryMetrics", () => {
    it("bounds the number of series and still counts every request", t => {
        const metrics = new EntryMetrics();
        const teams = 1_000;
        for (let team = 0; team < teams; team++) {
            metrics.recordTime({ requestClass: "drafts", team: `team-${team}` }, "total", team);
            metrics.countEnd({ requestClass: "drafts", team: `team-${team}` }, "answered", team % 2 === 0);
        }
        const writer = new ExpositionWriter();
        metrics.write(writer);
        const page = writer.toString();
        const counts = [...page.matchAll(/^gullhall_total_seconds_count\{.*\} (\d+)$/gm)].map(found =>
            Number(found[1])
        );
        t.true(counts.length <= 201);
        t.is(counts.reduce((sum, count) => sum + count, 0), teams);
        t.regex(page, /^gullhall_requests_total\{class="drafts",team="other",end="answered"\} 800$/m);
        const [statistics] = metrics.classStatistics();
        t.is(statistics?.ends.answered, teams);
        t.is(statistics?.withinTarget, teams / 2);
        t.is(statistics?.times.total.count, teams);
        t.true(Math.abs((statistics?.times.total.p50 ?? 0) - 500) <= 10);
    });
});
