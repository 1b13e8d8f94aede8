import fastCheck from "fast-check";
import assert from "node:assert/strict";
import { burstSeconds } from "../../../src/process/limits/entryLimiter.js";
import { divideCount, divideLimit, evenFraction } from "../../../src/process/limits/limitShares.js";
import { LimitTable, shareLifetime } from "../../../src/process/limits/limitTable.js";
import { RandomSource } from "../../../src/util/randomSource.js";
import { describe, it } from "../../describe.js";

const entryCount = 8;
const limitPerSecond = 40;
const divisionIntervalMilliseconds = 2_000;
const maximumDelayMilliseconds = 300;

interface Delivery {
    readonly at: number;
    readonly deliver: () => void;
}

/**
 * Simulates entries with changing demand; returns the times at which requests were admitted, in milliseconds.
 *
 * @param demandOf Requests per second that an entry demands at a time.
 */
function simulate(
    seed: number,
    durationMilliseconds: number,
    demandOf: (entry: number, now: number) => number,
): readonly number[] {
    const random = new RandomSource(seed);
    const tables = Array.from(
        { length: entryCount },
        () => new LimitTable(() => ({ requestsPerSecond: limitPerSecond }), () => entryCount),
    );
    const admitted: number[] = [];
    let deliveries: readonly Delivery[] = [];
    for (let now = 0; now < durationMilliseconds; now += 10) {
        deliveries.filter(each => each.at <= now).forEach(each => {
            each.deliver();
        });
        deliveries = deliveries.filter(each => each.at > now);
        if (now % divisionIntervalMilliseconds === 0) {
            deliveries = [...deliveries, ...divideAmongEntries(tables, now, random)];
        }
        tables.forEach((table, entry) => {
            if (random.float() < demandOf(entry, now) / 100 && table.admit(["team"], 1, now) === undefined) {
                table.finish(["team"], 1, 1, now);
                admitted.push(now);
            }
        });
    }
    return admitted;
}

function divideAmongEntries(tables: readonly LimitTable[], now: number, random: RandomSource): readonly Delivery[] {
    const demands = tables.map((table, entry) => {
        return { entry: `${entry}`, demand: table.takeDemands(now).get("team")?.requests ?? 0 };
    });
    const shares = divideLimit(limitPerSecond, demands);
    return tables.map((table, entry) => {
        const at = now + random.float() * maximumDelayMilliseconds;
        const requestsPerSecond = shares.get(`${entry}`) ?? 0;
        return {
            at,
            deliver: () => {
                table.setShare("team", { requestsPerSecond }, at);
            },
        };
    });
}

describe("limits across entries", () => {
    it("are exceeded at most by burst, late shares and one request per entry while demand moves between entries", t => {
        for (const seed of [1, 2, 3, 4, 5]) {
            const random = new RandomSource(seed + 100);
            const busyEntries = [...Array(40).keys()].map(() => random.integer(0, entryCount - 1));
            const admitted = simulate(
                seed,
                80_000,
                (entry, now) => busyEntries[Math.floor(now / divisionIntervalMilliseconds)] === entry ? 95 : 20,
            );
            const overlap = maximumDelayMilliseconds / divisionIntervalMilliseconds;
            for (const window of [2_000, 10_000, 60_000]) {
                const bound = (limitPerSecond * (1 + overlap) * window) / 1_000 + limitPerSecond * burstSeconds
                    + entryCount;
                t.true(
                    largestCountInWindow(admitted, window) <= bound,
                    `${largestCountInWindow(admitted, window)} in ${window} ms`,
                );
            }
        }
    });

    it("give an entry with all the demand the whole limit except the even shares of the other entries", t => {
        for (const seed of [1, 2, 3]) {
            const admitted = simulate(seed, 60_000, entry => entry === 3 ? 95 : 0);
            const admittedPerSecond = admitted.filter(time => time >= 10_000).length / 50;
            const minimumPerSecond = limitPerSecond * (1 - evenFraction * (1 - 1 / entryCount));
            t.true(
                admittedPerSecond >= minimumPerSecond * 0.97 && admittedPerSecond <= limitPerSecond,
                `${admittedPerSecond} requests per second`,
            );
        }
    });

    it("fall back to equal shares when no share is assigned for too long", t => {
        const table = new LimitTable(() => ({ requestsPerSecond: limitPerSecond }), () => entryCount);
        table.setShare("team", { requestsPerSecond: limitPerSecond }, 0);
        const admitted = (now: number): number => {
            return [...Array(200).keys()].filter(() => table.admit(["team"], 1, now) === undefined).length;
        };
        t.is(admitted(0), limitPerSecond * burstSeconds);
        table.expireShares(shareLifetime + 1);
        t.is(admitted(shareLifetime + 60_000), (limitPerSecond / entryCount) * burstSeconds);
    });

    it("refuse with a code for each limit, and do not count refused requests", t => {
        const limits = { requestsPerSecond: 100, tokensPerMinute: 6_000, concurrentRequests: 2 };
        const table = new LimitTable(owner => owner === "team" ? limits : { tokensPerMinute: 60_000 }, () => 1);
        t.is(table.admit(["team", "team/key"], 150, 0), undefined);
        t.deepEqual(table.admit(["team", "team/key"], 150, 0), { code: "tokenRateExceeded", retryAfter: 1_000 });
        t.is(table.admit(["team", "team/key"], 50, 0), undefined);
        const refused = { code: "concurrencyExceeded", retryAfter: 1_000 };
        t.deepEqual(table.admit(["team", "team/key"], 1, 10_000), refused);
        table.finish(["team", "team/key"], 50, 50, 10_000);
        t.is(table.admit(["team", "team/key"], 1, 10_000), undefined);
    });

    it("replace the expected tokens of a finished request by the actual ones", t => {
        const table = new LimitTable(() => ({ tokensPerMinute: 6_000 }), () => 1);
        t.is(table.admit(["team"], 100, 0), undefined);
        table.finish(["team"], 100, 400, 0);
        t.deepEqual(table.admit(["team"], 100, 0), { code: "tokenRateExceeded", retryAfter: 3_000 });
    });

    it("discard the limiter of an owner once it is idle", t => {
        const table = new LimitTable(() => ({ tokensPerMinute: 6_000 }), () => 1);
        table.admit(["team"], 100, 0);
        table.finish(["team"], 100, 1_000, 0);
        [1_000, 2_000, 9_000].forEach(now => table.takeDemands(now));
        t.is(table.size, 1);
        table.takeDemands(11_000);
        t.is(table.size, 0);
    });
});

describe("divideLimit and divideCount", () => {
    it("return shares that add up to the limit", t => {
        const demands = fastCheck.array(fastCheck.double({ min: 0, max: 1e6, noNaN: true }), {
            minLength: 1,
            maxLength: 700,
        });
        const property = fastCheck.property(demands, fastCheck.integer({ min: 1, max: 2_000 }), (values, limit) => {
            const entryDemands = values.map((demand, index) => ({ entry: `${index}`, demand }));
            const sumOf = (shares: ReadonlyMap<string, number>): number =>
                [...shares.values()].reduce((sum, share) => sum + share, 0);
            assert.ok(Math.abs(sumOf(divideLimit(limit, entryDemands)) - limit) < 1e-6 * limit);
            assert.equal(sumOf(divideCount(limit, entryDemands)), limit);
        });
        t.notThrows(() => {
            fastCheck.assert(property, { seed: 42 });
        });
    });
});

function largestCountInWindow(times: readonly number[], window: number): number {
    let largest = 0;
    let first = 0;
    times.forEach((time, last) => {
        while (time - (times[first] ?? 0) >= window) {
            first += 1;
        }
        largest = Math.max(largest, last - first + 1);
    });
    return largest;
}
