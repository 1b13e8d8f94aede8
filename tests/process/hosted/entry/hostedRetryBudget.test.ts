import type { RetryGrant } from "../../../../src/process/hosted/retryPolicy.js";
import type { Clock } from "../../../../src/util/clock.js";
import { describe, it } from "../../../describe.js";
import { testBounds } from "../hostedBounds.js";
import { NoLeader } from "./noLeader.js";
import { RetryFleet } from "./retryFleet.js";
import type { RetryFleetEntry } from "./retryFleet.js";

/** Time after which control processes know the entries in milliseconds. */
const settled = 4_000;

/** Grants each retry after three seconds. */
class SlowLeader extends NoLeader {
    constructor(private readonly clock: Clock) {
        super();
    }

    override async requestRetry(): Promise<RetryGrant> {
        await this.clock.sleep(3_000);
        return { isGranted: true, delay: 0 };
    }
}

async function takeAllRetries(fleet: RetryFleet, entries: readonly RetryFleetEntry[]): Promise<number> {
    const before = fleet.retriesBetween(0, Infinity);
    entries.forEach(entry => {
        for (let retry = 0; retry < 100; retry++) {
            void entry.retry();
        }
    });
    await fleet.clock.runUntil(fleet.clock.now() + 500);
    return fleet.retriesBetween(0, Infinity) - before;
}

describe("retry budget", () => {
    for (const entryCount of [7, 30, 191, 300]) {
        describe(`of ${entryCount} entries`, () => {
            // Guards against shares below one retry, which leave the budget of many entries unused.
            it("grants a fifth of the calls at any entries", async t => {
                const fleet = new RetryFleet(1);
                fleet.startEntries(entryCount);
                fleet.entries.forEach(entry => {
                    void entry.runCalls(300 / entryCount, () => 0.1);
                });
                await fleet.clock.runUntil(settled);
                fleet.denied = 0;
                await fleet.clock.runUntil(settled + 15_000);
                t.is(fleet.denied, 0);
            });

            // Guards against needs that arise at a few entries, while the shares of the others are unused.
            it("grants most of the budget to a single entry", async t => {
                const fleet = new RetryFleet(2);
                fleet.startEntries(entryCount);
                await fleet.clock.runUntil(settled);
                const taken = await takeAllRetries(fleet, fleet.entries.slice(0, 1));
                t.true(taken >= testBounds.retryReserve / 2, `${taken} retries`);
            });

            // Guards against retries beyond the bound while a leader is gone and a new one does not know its grants.
            it("is not exceeded when leaders change and every call needs retries", async t => {
                const fleet = new RetryFleet(3);
                fleet.startEntries(entryCount);
                fleet.entries.forEach(entry => {
                    void entry.runCalls(300 / entryCount, () => 1);
                });
                await fleet.clock.runUntil(settled + 8_000);
                fleet.elect(undefined);
                await fleet.clock.runUntil(settled + 10_000);
                fleet.elect(fleet.ledgers[1]);
                await fleet.clock.runUntil(settled + 14_000);
                fleet.elect(fleet.ledgers[2]);
                await fleet.clock.runUntil(settled + 30_000);
                const use = fleet.largestUse(settled, settled + 30_000);
                t.true(use <= 1, `${use} of the bound`);
                t.true(use >= 0.5, `${use} of the bound`);
            });

            // Guards against requests that grow with the number of calls and entries while the budget is exhausted.
            it("costs the leader few requests once it is exhausted", async t => {
                const fleet = new RetryFleet(4);
                fleet.startEntries(entryCount);
                fleet.entries.forEach(entry => {
                    void entry.runCalls(1_500 / entryCount, () => 1);
                });
                await fleet.clock.runUntil(10_000);
                const before = fleet.requests;
                await fleet.clock.runUntil(20_000);
                const bound = 1_500 * 10 * testBounds.retryFraction + testBounds.retryReserve;
                t.true(fleet.requests - before <= bound + 10 * 200, `${fleet.requests - before} requests`);
            });
        });
    }

    it("lets entries take a share of their own without a leader, together less than the bound", async t => {
        const fleet = new RetryFleet(5);
        fleet.startEntries(100);
        fleet.elect(undefined);
        await fleet.clock.runUntil(settled);
        const taken = await takeAllRetries(fleet, fleet.entries);
        t.true(taken > 0);
        t.true(taken <= testBounds.retryReserve);
    });

    it("lets retries leave the window", async t => {
        const fleet = new RetryFleet(6);
        fleet.startEntries(1);
        await fleet.clock.runUntil(settled);
        const first = await takeAllRetries(fleet, fleet.entries);
        await fleet.clock.runUntil(settled + 9_000);
        t.is(await takeAllRetries(fleet, fleet.entries), 0);
        await fleet.clock.runUntil(settled + 12_500);
        t.is(await takeAllRetries(fleet, fleet.entries), first);
    });

    it("is separate for each service", async t => {
        const fleet = new RetryFleet(7);
        fleet.startEntries(1);
        await fleet.clock.runUntil(settled);
        await takeAllRetries(fleet, fleet.entries);
        t.true(fleet.leader?.request("entry-0", "engines", fleet.clock.now()).isGranted);
    });

    // Guards against a process that was suspended between its request and its retry.
    it("does not use a grant that arrives late", async t => {
        const fleet = new RetryFleet(8);
        fleet.startEntries(1);
        const [entry] = fleet.entries;
        await fleet.clock.runUntil(settled);
        fleet.elect(undefined);
        await takeAllRetries(fleet, fleet.entries);
        await fleet.clock.runUntil(settled + 1_000);
        const decision = entry?.budget.acquire("desk", new SlowLeader(fleet.clock));
        await fleet.clock.runUntil(settled + 5_000);
        t.false(await decision);
    });
});
