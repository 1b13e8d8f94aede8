import fastCheck from "fast-check";
import {
    applyEndpointChanges,
    compareEndpoints,
    endpointsByIncarnation,
} from "../../../src/process/hosted/endpointChanges.js";
import type { EndpointRecord } from "../../../src/process/hosted/endpointRecord.js";
import { describe, it } from "../../describe.js";
import { createEndpointRecord } from "./entry/testEndpoints.js";

const record = fastCheck.record({
    id: fastCheck.integer({ min: 0, max: 8 }),
    startedAt: fastCheck.option(fastCheck.integer({ min: 1, max: 2 }), { nil: undefined }),
    softwareVersion: fastCheck.option(fastCheck.constantFrom("v1", "v2"), { nil: undefined }),
    isLeaving: fastCheck.boolean(),
    warmUpTime: fastCheck.integer({ min: 0, max: 3 }),
}).map(({ id, ...properties }) => createEndpointRecord(`e${id}`, properties));

const endpointList = fastCheck.uniqueArray(record, { selector: each => JSON.stringify(keyOf(each)), maxLength: 12 });

function keyOf({ id, startedAt, softwareVersion }: EndpointRecord): readonly unknown[] {
    return [id, startedAt, softwareVersion];
}

function sorted(records: Iterable<EndpointRecord>): readonly string[] {
    return [...records].map(each => JSON.stringify(each)).sort();
}

describe("changes of a list of endpoints", () => {
    // Guards against entries that keep an endpoint that has left, or miss a new one.
    it("lead from any list to any other one", t => {
        fastCheck.assert(
            fastCheck.property(endpointList, endpointList, (previous, next) => {
                const changes = compareEndpoints(previous, next);
                const applied = applyEndpointChanges(endpointsByIncarnation(previous), changes);
                t.deepEqual(sorted(applied.values()), sorted(next));
            }),
            { seed: 1, numRuns: 300 },
        );
    });

    it("name only what differs", t => {
        const previous = [createEndpointRecord("a"), createEndpointRecord("b"), createEndpointRecord("c")];
        const leaving = createEndpointRecord("b", { isLeaving: true });
        const changes = compareEndpoints(previous, [createEndpointRecord("a"), leaving]);
        t.deepEqual(changes.changed, [leaving]);
        t.is(changes.removed.length, 1);
    });
});
