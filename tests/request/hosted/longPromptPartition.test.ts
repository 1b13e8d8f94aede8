import { LongPromptPartition } from "../../../src/request/hosted/longPromptPartition.js";
import { describe, it } from "../../describe.js";
import { createEndpoints } from "../../process/hosted/entry/testEndpoints.js";

describe("LongPromptPartition", () => {
    it("classifies a prompt as long if its prefill would delay the events of concurrent streams", t => {
        const partition = new LongPromptPartition();
        t.is(partition.groupOf(200, 250), "longPrompts");
        t.is(partition.groupOf(20, 250), "otherCalls");
        t.is(partition.groupOf(5_000, undefined), "otherCalls");
    });

    it("assigns more engines to long prompts than their share of the work, and each engine to one group", t => {
        const endpoints = createEndpoints(12);
        const partition = new LongPromptPartition();
        for (let now = 0; now < 4_000; now += 100) {
            partition.recordWork("longPrompts", 300, now);
            partition.recordWork("otherCalls", 100, now);
        }
        const long = partition.enginesOf("longPrompts", endpoints, 4_000);
        const others = partition.enginesOf("otherCalls", endpoints, 4_000);
        // Long prompts are 300 of 400 units of work; the weight of 1.6 raises their engines from 9 to 10 of 12.
        t.is(long.size, 10);
        t.true(endpoints.every(endpoint => long.has(endpoint) !== others.has(endpoint)));
        t.is(long.size + others.size, 12);
    });

    it("uses the work of all entries while it is recent, and moves no engine for a small change", t => {
        const endpoints = createEndpoints(10);
        const partition = new LongPromptPartition();
        const longSize = (long: number, now: number): number => {
            partition.recordTotalWork({ long, other: 5_000 }, now);
            return partition.enginesOf("longPrompts", endpoints, now).size;
        };
        t.is(longSize(5_000, 0), 6);
        t.is(longSize(6_500, 1_000), 6);
        t.is(longSize(8_000, 2_000), 7);
        partition.recordWork("otherCalls", 10_000, 6_000);
        t.is(partition.enginesOf("longPrompts", endpoints, 6_000).size, 1);
    });

    it("gives the same partition for any order of the engines", t => {
        const endpoints = createEndpoints(9);
        const [one, other] = [new LongPromptPartition(), new LongPromptPartition()];
        const ids = (partition: LongPromptPartition, listed: typeof endpoints): readonly string[] =>
            [...partition.enginesOf("longPrompts", listed, 0)].map(endpoint => endpoint.id).sort();
        t.deepEqual(ids(one, endpoints), ids(other, [...endpoints].reverse()));
    });

    it("leaves at least one engine to each group, and a single engine to both", t => {
        const partition = new LongPromptPartition();
        partition.recordWork("longPrompts", 1_000_000, 0);
        t.is(partition.enginesOf("otherCalls", createEndpoints(2), 0).size, 1);
        t.is(partition.enginesOf("otherCalls", createEndpoints(1), 0).size, 1);
        t.is(partition.enginesOf("longPrompts", createEndpoints(1), 0).size, 1);
    });
});
