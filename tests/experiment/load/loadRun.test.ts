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
const common = { team: "north", key: "key", requestClass: "drafts", target: { totalMilliseconds: 60_000 } };
const chat = {
    ...common,
    kind: "chat",
    model: "alpha",
    requestsPerSecond: 60,
    promptTokens: { median: 40, sigma: 0.5 },
    outputTokens: { median: 6, sigma: 0.5 },
};

function planOf(entries: readonly string[], flows: readonly object[], seconds = 0.5): LoadPlan {
    return loadPlanSchema.parse({ seed: 21, seconds, entries, flows });
}

async function startEngine(): Promise<ModelEngine> {
    const engine = new ModelEngine({ models: ["alpha"], stepMilliseconds: 1 }, clock);
    await engine.start();
    return engine;
}

async function outcomesOf(plan: LoadPlan): Promise<readonly RequestOutcome[]> {
    const outcomes: RequestOutcome[] = [];
    await new LoadRun(plan, clock, outcome => outcomes.push(outcome)).run(new AbortController().signal);
    return outcomes;
}

function kindsOf(outcomes: readonly RequestOutcome[]): readonly string[] {
    return [...new Set(outcomes.map(outcome => outcome.kind))].sort();
}

describe("scheduleArrivals", () => {
    it("is fixed by the seed and sorted", t => {
        const plan = planOf(["127.0.0.1:1"], [chat, { ...chat, team: "south" }], 10);
        const arrivals = scheduleArrivals(plan);
        t.deepEqual(arrivals, scheduleArrivals(plan));
        t.deepEqual(arrivals.map(arrival => arrival.number), [...arrivals.keys()]);
        t.true(arrivals.every((arrival, index) => arrival.at >= (arrivals[index - 1]?.at ?? 0)));
        t.notDeepEqual(arrivals, scheduleArrivals({ ...plan, seed: 22 }));
    });

    it("follows its rates and bursts", t => {
        const bursts = [{ fromSecond: 20, toSecond: 30, factor: 3 }];
        const arrivals = scheduleArrivals(planOf(["127.0.0.1:1"], [{ ...chat, bursts }], 40));
        const counts = [0, 10, 20, 30].map(from =>
            arrivals.filter(({ at }) => at >= from * 1000 && at < (from + 10) * 1000).length
        );
        const expected = [600, 600, 1800, 600];
        // Four standard deviations of a Poisson count.
        t.true(
            counts.every((count, index) =>
                Math.abs(count - (expected[index] ?? 0)) < 4 * Math.sqrt(expected[index] ?? 0)
            ),
        );
    });
});

describe("loadPlanSchema", () => {
    it("refuses an entry that is not on loopback", t => {
        t.throws(() => planOf(["10.0.0.1:80"], [chat]));
    });
});

describe("LoadRun", () => {
    it("sends every request once and finds every answer whole", async t => {
        await using engine = await startEngine();
        const plan = planOf([engine.address], [chat]);
        const outcomes = await outcomesOf(plan);
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
        it(`sees the fault ${fault.kind}`, async t => {
            await using engine = await startEngine();
            engine.faults.set(fault);
            t.deepEqual(kindsOf(await outcomesOf(planOf([engine.address], [chat]))), kinds);
        });
    }

    it("gives up after its time limit", async t => {
        await using engine = await startEngine();
        engine.faults.set({ kind: "stall", pathPrefix: "/v1/chat" });
        const outcomes = await outcomesOf(planOf([engine.address], [{ ...chat, timeoutMilliseconds: 100 }]));
        t.deepEqual(kindsOf(outcomes), ["timedOut"]);
    });

    it("calls services with the answer of the right request", async t => {
        await using service = new PlainService({}, clock);
        await service.start();
        const flow = { ...common, kind: "service", path: "/bookings", requestsPerSecond: 60 };
        const plan = planOf([service.address], [flow]);
        t.deepEqual(kindsOf(await outcomesOf(plan)), ["whole"]);
        service.faults.set({ kind: "crossAnswers", pathPrefix: "/bookings" });
        t.true(kindsOf(await outcomesOf(plan)).includes("wrong"));
    });

    it("uses the entries that discovery names, keeps the answer, and never leaves loopback", async t => {
        await using engine = await startEngine();
        let asked = 0;
        const discovery = createServer((request, response) => {
            request.resume();
            asked++;
            const entries = ["192.0.2.1:80", engine.address].map(address => ({ address }));
            response.end(JSON.stringify({ entries, timeToLive: 60 }));
        });
        const address = await listen(discovery, "127.0.0.1:0");
        const outcomes = await outcomesOf(planOf([address], [chat]));
        discovery.close();
        t.deepEqual([...new Set(outcomes.map(outcome => outcome.entry))], [engine.address]);
        t.is(asked, 1);
    });
});
