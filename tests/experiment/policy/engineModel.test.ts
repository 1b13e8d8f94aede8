import { EngineModel } from "../../../src/experiment/policy/engineModel.js";
import type { EngineJob } from "../../../src/experiment/policy/engineModel.js";
import { EventQueue } from "../../../src/experiment/policy/eventQueue.js";
import { describe, it } from "../../describe.js";

const speed = { slots: 2, stepTime: 10, stepTimePerSequence: 5, promptTokensPerStep: 10 };

interface EngineFixture {
    readonly events: EventQueue;
    readonly engine: EngineModel;
    readonly log: string[];
    readonly start: (id: string, tier: number, outputTokens: number) => void;
}

function createEngine(): EngineFixture {
    const events = new EventQueue();
    const engine = new EngineModel(events, speed);
    const log: string[] = [];
    const start = (id: string, tier: number, outputTokens: number): void => {
        const job: EngineJob = {
            id,
            tier,
            contextTokens: 20,
            outputTokens,
            onFirstToken: () => undefined,
            onCompleted: () => {
                log.push(`${id}@${Math.round(events.now)}`);
            },
            onEngineFailed: madeTokens => {
                log.push(`${id} lost after ${madeTokens}`);
            },
        };
        engine.start(job);
    };
    return { events, engine, log, start };
}

describe("EngineModel", () => {
    it("generates one token per step after the prefill", t => {
        const { events, log, start } = createEngine();
        start("alone", 0, 8);
        events.runUntil(1_000);
        t.deepEqual(log, ["alone@150"]);
    });

    it("takes longer per step with a larger batch and starts the waiting job of the highest tier first", t => {
        const { events, log, start } = createEngine();
        start("one", 3, 8);
        start("two", 3, 18);
        start("low", 5, 8);
        start("high", 0, 8);
        events.runUntil(2_000);
        t.deepEqual(log, ["one@200", "two@400", "high@400", "low@550"]);
    });

    it("returns the generated tokens of a stopped job and reuses its slot", t => {
        const { events, engine, log, start } = createEngine();
        start("stopped", 0, 50);
        events.runUntil(150);
        t.is(engine.stop("stopped"), 8);
        start("next", 0, 8);
        events.runUntil(1_000);
        t.deepEqual(log, ["next@300"]);
        t.is(engine.load, 0);
    });

    it("fails running, waiting and later jobs after its failure", t => {
        const { events, engine, log, start } = createEngine();
        ["one", "two", "three"].forEach(id => {
            start(id, 0, 50);
        });
        events.runUntil(200);
        engine.fail();
        start("four", 0, 8);
        events.runUntil(1_000);
        t.deepEqual(log, ["one lost after 8", "two lost after 8", "three lost after 0", "four lost after 0"]);
    });

    it("generates no tokens while it is stalled", t => {
        const { events, engine, log, start } = createEngine();
        start("stuck", 0, 8);
        events.runUntil(75);
        engine.setSlowdown(Infinity);
        events.runUntil(10_000);
        engine.setSlowdown(1);
        events.runUntil(20_000);
        t.deepEqual(log, ["stuck@10075"]);
    });
});
