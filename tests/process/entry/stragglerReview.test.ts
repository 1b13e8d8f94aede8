import fastCheck from "fast-check";
import { reviewStragglers } from "../../../src/process/entry/stragglerReview.js";
import type { EndpointLatencyReading } from "../../../src/process/entry/stragglerReview.js";
import { describe, it } from "../../describe.js";

function createReading(index: number, changes: Partial<EndpointLatencyReading> = {}): EndpointLatencyReading {
    return {
        name: `engine-${index}`,
        stepTime: 10,
        stepCount: 100,
        firstTokenTime: 100,
        firstTokenCount: 100,
        setAside: false,
        onTrial: false,
        ...changes,
    };
}

function createPool(
    size: number,
    ...changes: readonly Partial<EndpointLatencyReading>[]
): readonly EndpointLatencyReading[] {
    return Array.from(Array(size).keys(), index => createReading(index, changes[index] ?? {}));
}

const reviewCases: readonly [
    title: string,
    readings: readonly EndpointLatencyReading[],
    slow: readonly number[],
    recovered: readonly number[],
][] = [
    ["sets one slow engine aside", createPool(6, { stepTime: 30 }), [0], []],
    ["sets an engine with a slow first token aside", createPool(6, { firstTokenTime: 900 }), [0], []],
    ["ignores small differences", createPool(6, { stepTime: 24, firstTokenTime: 340 }), [], []],
    ["ignores engines with too few samples", createPool(6, { stepTime: 30, stepCount: 3 }), [], []],
    [
        "sets the slowest aside first, at most a third of the pool",
        createPool(6, { stepTime: 30 }, { stepTime: 90 }, { stepTime: 40 }),
        [1, 2],
        [],
    ],
    [
        "sets no engine aside if a third of the pool already is",
        createPool(6, { setAside: true }, { setAside: true }, { stepTime: 90 }),
        [],
        [],
    ],
    ["compares nothing in a pool that is too small", createPool(2, { stepTime: 90 }), [], []],
    ["ends the trial of a recovered engine", createPool(6, { onTrial: true, stepTime: 12 }), [], [0]],
    [
        "sets an engine aside again if it is still slow on trial",
        createPool(6, { onTrial: true, stepTime: 20 }),
        [0],
        [],
    ],
];

const arbitraryReading = fastCheck.record({
    stepTime: fastCheck.integer({ min: 1, max: 500 }),
    stepCount: fastCheck.integer({ min: 0, max: 100 }),
    firstTokenTime: fastCheck.integer({ min: 1, max: 5_000 }),
    firstTokenCount: fastCheck.integer({ min: 0, max: 100 }),
    setAside: fastCheck.boolean(),
    onTrial: fastCheck.boolean(),
});

describe("reviewStragglers", () => {
    for (const [title, readings, slow, recovered] of reviewCases) {
        it(title, t => {
            const toNames = (indexes: readonly number[]): readonly string[] => indexes.map(index => `engine-${index}`);
            t.deepEqual(reviewStragglers(readings), { slow: toNames(slow), recovered: toNames(recovered) });
        });
    }

    it("never sets aside more than a third of a pool, nor an endpoint that is as fast as the fastest", t => {
        const property = fastCheck.property(fastCheck.array(arbitraryReading, { maxLength: 40 }), changes => {
            const readings = changes.map((change, index) => createReading(index, change));
            const alreadySetAside = readings.filter(reading => reading.setAside).length;
            const { slow } = reviewStragglers(readings);
            t.true(slow.length === 0 || alreadySetAside + slow.length <= readings.length / 3);
            const fastest = Math.min(...readings.filter(each => !each.setAside).map(each => each.stepTime));
            for (const reading of readings.filter(each => slow.includes(each.name))) {
                t.true(reading.stepTime > fastest || reading.firstTokenTime > 250);
            }
        });
        fastCheck.assert(property, { seed: 11, numRuns: 500 });
    });
});
