import fastCheck from "fast-check";
import { EndpointTable } from "../../../src/process/entry/endpointTable.js";
import type { EndpointChooser } from "../../../src/request/endpointChooser.js";
import { AffinityChooser } from "../../../src/request/routing/affinityChooser.js";
import { LeastOutstandingChooser } from "../../../src/request/routing/leastOutstandingChooser.js";
import { PrefixCacheIndex } from "../../../src/request/routing/prefixCacheIndex.js";
import type { CacheEvent } from "../../../src/request/routing/prefixCacheIndex.js";
import { RoundRobinChooser } from "../../../src/request/routing/roundRobinChooser.js";
import { RandomSource } from "../../../src/util/randomSource.js";
import { describe, it } from "../../describe.js";
import { classOf, requestOf } from "../admission/requestBuilder.js";

const requirement = { model: undefined, version: undefined, adapter: undefined };

/** Returns a table of endpoints with `capacity` slots each; those from the index `cheapFrom` on are cheap. */
function createTable(count: number, capacity: number, cheapFrom = count): EndpointTable {
    const noOpListener = { setAside: (): undefined => undefined, returned: (): undefined => undefined };
    const table = new EndpointTable("pool", new RandomSource(1), noOpListener);
    const endpoints = Array.from(Array(count).keys(), index => ({
        name: `engine-${index}`,
        address: `127.0.0.1:${index + 1}`,
        failureDomain: "hobart-a",
        cheap: index >= cheapFrom,
    }));
    table.setEndpoints(endpoints, capacity);
    return table;
}

function createAffinityChooser(seed: number, cacheIndex = new PrefixCacheIndex()): EndpointChooser {
    return new AffinityChooser(new RandomSource(seed), cacheIndex);
}

const choosers: readonly [name: string, create: () => EndpointChooser][] = [
    ["AffinityChooser", () => createAffinityChooser(3)],
    ["LeastOutstandingChooser", () => new LeastOutstandingChooser()],
    ["RoundRobinChooser", () => new RoundRobinChooser()],
];

/** An operation of {@link apply} by number, and the index of the endpoint that it affects. */
type Step = readonly [kind: number, index: number];
const steps = fastCheck.array(fastCheck.tuple(fastCheck.nat(6), fastCheck.nat(11)), { maxLength: 80 });

function apply(table: EndpointTable, [kind, index]: Step, now: number): void {
    const endpoint = table.all[index];
    if (endpoint === undefined) {
        return;
    }
    const report = { reportedAt: now, waitingRequests: 0, maximumRunningRequests: 4, leaving: false };
    switch (kind) {
        case 0:
            endpoint.markLeaving(now);
            break;
        case 1:
            table.recordFault(endpoint, "unreachable", now);
            break;
        case 2:
            endpoint.applyReport({ ...report, runningRequests: index }, now, now);
            break;
        case 3:
            endpoint.recordBusy(now);
            break;
        case 4:
            table.recordProbe(endpoint, true, now);
            break;
        default:
            table.refresh(now);
    }
}

describe("EndpointChooser", () => {
    for (const [name, create] of choosers) {
        it(`${name} chooses an available endpoint if any, and never one that is leaving, set aside or full`, t => {
            const property = fastCheck.property(steps, history => {
                const table = createTable(12, 3);
                const chooser = create();
                for (const [time, step] of history.entries()) {
                    const now = time * 30;
                    apply(table, step, now);
                    const request = requestOf(`r${time}`, classOf(time % 6), { affinityDigest: String(time % 3) });
                    const group = table.groupFor(requirement);
                    const chosen = chooser.choose(group, request, now);
                    const usable = table.all.filter(each => each.freeSlots > 0);
                    t.is(chosen === undefined, usable.length === 0);
                    t.is(group.freeSlots, usable.reduce((sum, each) => sum + each.freeSlots, 0));
                    t.deepEqual(group.available.map(each => each.name).sort(), usable.map(each => each.name).sort());
                    if (chosen !== undefined) {
                        t.false(chosen.leaving || chosen.health.isSetAside);
                        t.true(chosen.freeSlots > 0);
                        chosen.start(now);
                    }
                }
            });
            fastCheck.assert(property, { seed: 17, numRuns: 60 });
        });
    }

    describe("AffinityChooser", () => {
        it("concentrates the requests of a prefix while load is even, and keeps endpoints within the load bound", t => {
            const table = createTable(9, 16);
            const chooser = createAffinityChooser(7);
            const group = table.groupFor(requirement);
            const chosen = Array.from(Array(72).keys(), count => {
                const endpoint = chooser.choose(
                    group,
                    requestOf(`r${count}`, classOf(1), { affinityDigest: "p" }),
                    count,
                );
                endpoint?.start(count);
                return endpoint?.name;
            });
            t.true(new Set(chosen.slice(0, 4)).size <= 2);
            t.true(Math.max(...table.all.map(each => each.running)) <= 12);
            t.true(Math.min(...table.all.map(each => each.running)) >= 4);
        });

        it("prefers an endpoint that has the prefix cached, until a gap in its event numbers", t => {
            const table = createTable(9, 16);
            const cacheIndex = new PrefixCacheIndex();
            const chooser = createAffinityChooser(7, cacheIndex);
            const request = requestOf("a", classOf(1), { affinityDigest: "p", cachePrefixDigests: ["d1", "d2"] });
            const group = table.groupFor(requirement);
            const defaultChoice = chooser.choose(group, request, 0);
            const holder = table.all.find(each => each !== defaultChoice);
            const stored = (number: number, prefixDigest: string): CacheEvent => ({
                number,
                kind: "stored",
                prefixDigest,
            });
            if (holder !== undefined) {
                cacheIndex.applyEvents(holder, [stored(1, "d1"), stored(2, "d2")], 2);
                t.is(chooser.choose(group, request, 0), holder);
                cacheIndex.applyEvents(holder, [stored(4, "other")], 4);
                t.is(chooser.choose(group, request, 0), defaultChoice);
            }
            t.truthy(holder);
        });

        it("prefers steady endpoints for top tiers and cheap ones for idempotent requests of lower tiers", t => {
            const table = createTable(8, 64, 4);
            const chooser = createAffinityChooser(5);
            const group = table.groupFor(requirement);
            const shareOfCheap = (tier: number): number => {
                const chosen = Array.from(
                    Array(400).keys(),
                    () => chooser.choose(group, requestOf("r", classOf(tier)), 0),
                );
                return chosen.filter(each => each?.description.cheap === true).length / chosen.length;
            };
            t.true(shareOfCheap(0) < 0.35);
            t.true(shareOfCheap(4) > 0.65);
        });
    });
});
