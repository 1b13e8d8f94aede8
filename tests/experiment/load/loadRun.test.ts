import { createServer } from "node:http";
import { scheduleArrivals } from "../../../src/experiment/load/arrivalSchedule.js";
import { loadPlanSchema } from "../../../src/experiment/load/loadPlan.js";
import type { LoadPlan } from "../../../src/experiment/load/loadPlan.js";
import { LoadRun } from "../../../src/experiment/load/loadRun.js";
import type { RequestOutcome } from "../../../src/experiment/load/requestOutcome.js";
import type { FaultInput } from "../../../src/standIn/fault.js";
import { ModelEngine } from "../../../src/standIn/modelEngine/modelEngine.js";
import { PlainService } from "../../../src/standIn/plainService/plainService.js";
import { SystemClock } from "../../../src/util/clock.js";
import { listen } from "../../../src/util/socketAddress.js";
import { describe, it } from "../../describe.js";

const clock = new SystemClock();
const commonFlow = { team: "north", key: "key", requestClass: "drafts", target: { totalMilliseconds: 60_000 } };
const chatFlow = {
    ...commonFlow,
    kind: "chat",
    model: "alpha",
    requestsPerSecond: 60,
    promptTokens: { median: 40, sigma: 0.5 },
    outputTokens: { median: 6, sigma: 0.5 },
};

function createPlan(entries: readonly string[], flows: readonly object[], seconds = 0.5): LoadPlan {
    return loadPlanSchema.parse({ seed: 21, seconds, entries, flows });
}

async function startEngine(): Promise<ModelEngine> {
    const engine = new ModelEngine({ models: ["alpha"], stepMilliseconds: 1 }, clock);
    await engine.start();
    return engine;
}

async function runPlan(plan: LoadPlan): Promise<readonly RequestOutcome[]> {
    const outcomes: RequestOutcome[] = [];
    await new LoadRun(plan, clock, outcome => outcomes.push(outcome)).run(new AbortController().signal);
    return outcomes;
}

function kindsOf(outcomes: readonly RequestOutcome[]): readonly string[] {
    return [...new Set(outcomes.map(outcome => outcome.kind))].sort();
}

describe("scheduleArrivals", () => {
    it("depends only on the plan and its seed, and is sorted", t => {
        const plan = createPlan(["127.0.0.1:1"], [chatFlow, { ...chatFlow, team: "south" }], 10);
        const arrivals = scheduleArrivals(plan);
        t.deepEqual(arrivals, scheduleArrivals(plan));
        t.deepEqual(arrivals.map(arrival => arrival.number), [...arrivals.keys()]);
        t.true(arrivals.every((arrival, index) => arrival.scheduledAt >= (arrivals[index - 1]?.scheduledAt ?? 0)));
        t.notDeepEqual(arrivals, scheduleArrivals({ ...plan, seed: 22 }));
    });

    it("follows the rates and bursts of the plan", t => {
        const bursts = [{ fromSecond: 20, toSecond: 30, factor: 3 }];
        const arrivals = scheduleArrivals(createPlan(["127.0.0.1:1"], [{ ...chatFlow, bursts }], 40));
        const counts = [0, 10, 20, 30].map(from =>
            arrivals.filter(({ scheduledAt }) => scheduledAt >= from * 1000 && scheduledAt < (from + 10) * 1000).length
        );
        const expected = [600, 600, 1800, 600];
        // The tolerance is four standard deviations of a Poisson-distributed count.
        t.true(
            counts.every((count, index) =>
                Math.abs(count - (expected[index] ?? 0)) < 4 * Math.sqrt(expected[index] ?? 0)
            ),
        );
    });
});

describe("loadPlanSchema", () => {
    it("rejects an entry that is not on loopback", t => {
        t.throws(() => createPlan(["10.0.0.1:80"], [chatFlow]));
    });
});

describe("LoadRun", () => {
    it("sends each request once and validates each response as complete", async t => {
        await using engine = await startEngine();
        const plan = createPlan([engine.address], [chatFlow]);
        const outcomes = await runPlan(plan);
        t.is(outcomes.length, scheduleArrivals(plan).length);
        t.deepEqual(kindsOf(outcomes), ["whole"]);
        t.true(outcomes.every(outcome => outcome.attained));
        t.is(engine.requestLog.listAfter().filter(request => request.method === "POST").length, outcomes.length);
    });

    const faults: readonly { readonly fault: FaultInput; readonly kinds: readonly string[]; }[] = [
        { fault: { kind: "crossAnswers", replace: true, times: 3 }, kinds: ["whole", "wrong"] },
        { fault: { kind: "duplicateToken", tokenNumber: 0 }, kinds: ["wrong"] },
        { fault: { kind: "skipToken", tokenNumber: 0 }, kinds: ["wrong"] },
        { fault: { kind: "breakStreams", afterTokens: 1, times: 3 }, kinds: ["cut", "whole"] },
        { fault: { kind: "refuseLeaving" }, kinds: ["unknown"] },
        { fault: { kind: "crash" }, kinds: ["unreachable"] },
    ];
    for (const { fault, kinds } of faults) {
        it(`detects the fault ${fault.kind}`, async t => {
            await using engine = await startEngine();
            engine.faults.set(fault);
            t.deepEqual(kindsOf(await runPlan(createPlan([engine.address], [chatFlow]))), kinds);
        });
    }

    it("times out after the timeout of the flow", async t => {
        await using engine = await startEngine();
        engine.faults.set({ kind: "stall", pathPrefix: "/v1/chat" });
        const outcomes = await runPlan(createPlan([engine.address], [{ ...chatFlow, timeoutMilliseconds: 100 }]));
        t.deepEqual(kindsOf(outcomes), ["timedOut"]);
    });

    it("validates service responses and detects those of other requests", async t => {
        await using service = new PlainService({}, clock);
        await service.start();
        const flow = { ...commonFlow, kind: "service", path: "/bookings", requestsPerSecond: 60 };
        const plan = createPlan([service.address], [flow]);
        t.deepEqual(kindsOf(await runPlan(plan)), ["whole"]);
        service.faults.set({ kind: "crossAnswers", pathPrefix: "/bookings" });
        t.true(kindsOf(await runPlan(plan)).includes("wrong"));
    });

    it("uses the discovered loopback entries only and caches the list", async t => {
        await using engine = await startEngine();
        let discoveryRequests = 0;
        const discovery = createServer((request, response) => {
            request.resume();
            discoveryRequests++;
            const entries = ["192.0.2.1:80", engine.address].map(address => ({ address }));
            response.end(JSON.stringify({ entries, timeToLive: 60 }));
        });
        const address = await listen(discovery, "127.0.0.1:0");
        const outcomes = await runPlan(createPlan([address], [chatFlow]));
        discovery.close();
        t.deepEqual([...new Set(outcomes.map(outcome => outcome.entry))], [engine.address]);
        t.is(discoveryRequests, 1);
    });
});
