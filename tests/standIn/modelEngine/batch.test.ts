import fastCheck from "fast-check";
import { Batch } from "../../../src/standIn/modelEngine/batch.js";
import { DeterministicCompletion } from "../../../src/standIn/modelEngine/deterministicCompletion.js";
import { engineOptionsSchema } from "../../../src/standIn/modelEngine/engineOptions.js";
import type { EngineOptionsInput } from "../../../src/standIn/modelEngine/engineOptions.js";
import { PrefixCache, prefixDigests } from "../../../src/standIn/modelEngine/prefixCache.js";
import { TokenSink } from "../../../src/standIn/modelEngine/sequence.js";
import type { GeneratedToken, SequenceRequest } from "../../../src/standIn/modelEngine/sequence.js";
import { describe, it } from "../../describe.js";

/** Stores the received tokens, and adds its id to a list shared with other sinks when it is finished. */
class RecordingSink extends TokenSink {
    readonly tokens: GeneratedToken[] = [];
    endReason: string | undefined;
    override ready = true;

    constructor(private readonly id: string, private readonly finished: string[]) {
        super();
    }

    override push(token: GeneratedToken): void {
        this.tokens.push(token);
        if (token.finish !== undefined) {
            this.finished.push(this.id);
        }
    }

    override finish(): void {
        this.finished.push(this.id);
    }

    override abort(reason: string): void {
        this.endReason = reason;
    }
}

class BatchFixture {
    readonly finished: string[] = [];
    readonly batch: Batch;

    constructor(options: EngineOptionsInput) {
        const checked = engineOptionsSchema.parse(options);
        const cache = new PrefixCache(checked.cacheTokens, () => undefined);
        this.batch = new Batch(checked, cache, () => "mixed");
    }

    submit(id: string, priority: number, tokens: number, prompt = id): RecordingSink {
        const sink = new RecordingSink(id, this.finished);
        const request: SequenceRequest = {
            id,
            model: "alpha",
            prompt,
            priority,
            completion: new DeterministicCompletion("alpha", prompt),
            firstToken: 0,
            endToken: tokens,
            promptTokens: Math.ceil(prompt.length / 4),
            digests: prefixDigests("alpha", prompt),
            importedTokens: 0,
            sink,
        };
        this.batch.submit(request);
        return sink;
    }

    step(): number {
        this.batch.admit();
        const step = this.batch.planStep();
        this.batch.executeStep(step);
        return step.duration;
    }

    runAll(): void {
        while (this.batch.runningCount + this.batch.waitingCount > 0) {
            this.step();
        }
    }
}

describe("Batch", () => {
    it("generates one token per step for each sequence, and the step duration grows with their number", t => {
        const fixture = new BatchFixture({ maximumRunning: 8, stepMilliseconds: 10, stepMillisecondsPerRequest: 2 });
        const alone = fixture.submit("a", 0, 50);
        fixture.step();
        const short = fixture.step();
        const others = ["b", "c", "d"].map(id => fixture.submit(id, 0, 50));
        fixture.step();
        const long = fixture.step();
        t.deepEqual([short, long], [12, 18]);
        t.deepEqual([alone, ...others].map(sink => sink.tokens.length), [4, 2, 2, 2]);
    });

    it("preempts the sequence of the lowest priority, which later continues without losing tokens", t => {
        const fixture = new BatchFixture({ maximumRunning: 2 });
        const urgent = fixture.submit("urgent", 1, 6);
        const background = fixture.submit("background", 5, 6);
        fixture.step();
        const critical = fixture.submit("critical", 0, 2);
        fixture.step();
        t.deepEqual([urgent, background, critical].map(sink => sink.tokens.length), [2, 1, 1]);
        fixture.runAll();
        t.deepEqual(fixture.finished, ["critical", "urgent", "background"]);
        t.deepEqual(background.tokens.map(token => token.number), [0, 1, 2, 3, 4, 5]);
        t.is(background.endReason, undefined);
    });

    it("does not preempt for an equal priority, and runs equal priorities in order of arrival", t => {
        const fixture = new BatchFixture({ maximumRunning: 1 });
        ["a", "b", "c"].forEach(id => fixture.submit(id, 3, 4));
        fixture.runAll();
        t.deepEqual(fixture.finished, ["a", "b", "c"]);
    });

    it("skips the prefill of a cached prefix", t => {
        const fixture = new BatchFixture({ prefillTokensPerStep: 64, stepMillisecondsPerRequest: 0 });
        const prompt = "x".repeat(64 * 4 * 4);
        const first = fixture.submit("first", 0, 1, prompt);
        fixture.runAll();
        const second = fixture.submit("second", 0, 1, prompt);
        fixture.step();
        t.is(first.tokens[0]?.finish?.usage.cached_tokens, 0);
        t.is(second.tokens[0]?.finish?.usage.cached_tokens, 256);
    });

    it("pauses only the sequence whose client reads slowly", t => {
        const fixture = new BatchFixture({});
        const slow = fixture.submit("slow", 0, 10);
        const quick = fixture.submit("quick", 0, 10);
        fixture.step();
        slow.ready = false;
        fixture.step();
        fixture.step();
        t.deepEqual([slow.tokens.length, quick.tokens.length], [1, 3]);
        slow.ready = true;
        fixture.runAll();
        t.deepEqual(slow.tokens.map(token => token.number), [...Array(10).keys()]);
    });

    it("rejects requests when the waiting queue is full", t => {
        const fixture = new BatchFixture({ maximumRunning: 1, maximumWaiting: 2 });
        ["a", "b", "c", "d"].forEach(id => fixture.submit(id, 0, 1));
        fixture.runAll();
        t.deepEqual(fixture.finished, ["a", "b", "c"]);
    });

    it("sends each request its own tokens once and in order under preemption and cancellation", t => {
        const arrival = fastCheck.record({
            priority: fastCheck.nat(3),
            tokens: fastCheck.integer({ min: 1, max: 6 }),
            steps: fastCheck.nat(3),
            cancelled: fastCheck.boolean(),
        });
        fastCheck.assert(
            fastCheck.property(fastCheck.array(arrival, { maxLength: 12 }), arrivals => {
                const fixture = new BatchFixture({ maximumRunning: 2 });
                const sinks = arrivals.map(({ priority, tokens, steps, cancelled }, index) => {
                    const sink = fixture.submit(`${index}`, priority, tokens);
                    Array.from({ length: steps }, () => fixture.step());
                    const sequence = fixture.batch.find(`${index}`);
                    if (cancelled && sequence !== undefined) {
                        fixture.batch.remove(sequence, "cancelled");
                    }
                    return sink;
                });
                fixture.runAll();
                sinks.forEach((sink, index) => {
                    const completion = new DeterministicCompletion("alpha", `${index}`);
                    const numbers = [...sink.tokens.keys()];
                    t.deepEqual(sink.tokens.map(token => token.number), numbers);
                    t.deepEqual(sink.tokens.map(token => token.text), numbers.map(number => completion.token(number)));
                    t.is(sink.tokens.length === arrivals[index]?.tokens, sink.endReason === undefined);
                });
            }),
            { seed: 13 },
        );
    });
});
