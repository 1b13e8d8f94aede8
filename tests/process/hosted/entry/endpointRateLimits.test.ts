import { EventLog } from "../../../../src/logEvent/eventLog.js";
import { EndpointRateLimits } from "../../../../src/process/hosted/entry/endpointRateLimits.js";
import type { GrantDecision } from "../../../../src/process/hosted/grantDecision.js";
import type { Clock, Milliseconds } from "../../../../src/util/clock.js";
import { RandomSource } from "../../../../src/util/randomSource.js";
import { SuspensionDetector } from "../../../../src/util/suspensionDetector.js";
import { describe, it } from "../../../describe.js";
import { VirtualClock } from "../../platform/virtualClock.js";
import { acceptedArrivals, LimitedFleet } from "./limitedFleet.js";
import { NoLeader } from "./noLeader.js";

/** Time after the first stated limit from which it must hold. */
const convergenceTime = 4_000;

/** Grants each call after a delay. */
class DelayedGrants extends NoLeader {
    constructor(private readonly clock: Clock, private readonly delay: Milliseconds) {
        super();
    }

    override get leaderId(): string {
        return "leader";
    }

    override async requestGrant(): Promise<GrantDecision> {
        await this.clock.sleep(this.delay);
        return { isGranted: true, delay: 0, contenders: 1 };
    }
}

/** Does not decide on the first request, and grants all others. */
class ReturningLeader extends NoLeader {
    requests = 0;

    override requestGrant(): Promise<GrantDecision | undefined> {
        this.requests++;
        return Promise.resolve(this.requests === 1 ? undefined : { isGranted: true, delay: 0, contenders: 1 });
    }
}

function createLimits(clock: Clock, entryCount = 1): EndpointRateLimits {
    return new EndpointRateLimits({
        clock,
        suspensionDetector: new SuspensionDetector(clock),
        random: new RandomSource(1),
        eventLog: new EventLog("test", "hidden"),
        entryCount: () => entryCount,
    });
}

describe("EndpointRateLimits without a leader", () => {
    for (const entryCount of [0, 1]) {
        // Guards against limits that end because a control process that has just started knows no entry yet.
        it(`keep to the limit if control processes know ${entryCount} entries`, async t => {
            const clock = new VirtualClock();
            const limits = createLimits(clock, entryCount);
            limits.recordStatement("e", { kind: "limited", callsPerSecond: 4, isAmbiguous: false }, 0);
            let sent = 0;
            for (let time = 0; time < 20_000; time += 10) {
                await clock.runUntil(time);
                sent += await limits.acquire("e", 0, new NoLeader()) ? 1 : 0;
            }
            t.true(sent <= 1.5 * 4 * 20 + 5, `${sent} calls`);
            t.true(sent > 0);
        });
    }
});

/** Simulates a fleet whose endpoints state limits from time 0 on. */
async function startFleet(
    seed: number,
    entryCount: number,
    callsPerSecond: number,
    limits: readonly number[],
): Promise<LimitedFleet> {
    const fleet = new LimitedFleet(seed);
    limits.forEach((limit, index) => fleet.endpoints.set(`e${index}`, limit));
    fleet.startEntries(entryCount, callsPerSecond / entryCount);
    await fleet.clock.runUntil(convergenceTime);
    return fleet;
}

describe("EndpointRateLimits", () => {
    // Guards against endpoints in need that get more calls from all entries together than their limits allow.
    describe("keep the sum over all entries to the limits, and use them", () => {
        for (
            const [entryCount, callsPerSecond, limits] of [
                [7, 30, [1.5]],
                [7, 30, [0.3, 1.2, 8]],
                [80, 200, [1.5, 4]],
                [80, 200, [0.05, 0, 20]],
                [300, 400, [2, 0.5]],
            ] as const
        ) {
            it(`${entryCount} entries, limits ${limits.join(", ")}`, async t => {
                const fleet = await startFleet(entryCount, entryCount, callsPerSecond, limits);
                const end = convergenceTime + 20_000;
                await fleet.clock.runUntil(end);
                limits.forEach((limit, index) => {
                    const endpoint = `e${index}`;
                    const most = fleet.mostArrivals(endpoint, convergenceTime, end);
                    t.true(most <= acceptedArrivals(limit), `${endpoint}: ${most}`);
                    const arrivals = fleet.arrivalsBetween(endpoint, convergenceTime, end);
                    t.true(arrivals >= 0.6 * limit * 20, `${endpoint}: ${arrivals} calls use the limit`);
                    t.true(arrivals > 0, `${endpoint} gets the odd call`);
                });
            });
        }
    });

    // Guards against calls in excess while entries and control processes come, go and cannot reach each other.
    describe("keep the sum to the limits", () => {
        const limit = 2;
        for (
            const [title, disturb] of [
                ["while the leader changes again and again", async (fleet: LimitedFleet) => {
                    for (let change = 1; change <= 6; change++) {
                        fleet.leader = undefined;
                        await fleet.clock.runUntil(fleet.clock.now() + 700);
                        fleet.leader = fleet.ledgers[change % 3];
                        await fleet.clock.runUntil(fleet.clock.now() + 1_300);
                    }
                }],
                ["while control processes that know nothing take the lead", async (fleet: LimitedFleet) => {
                    for (let change = 1; change <= 6; change++) {
                        fleet.leader = undefined;
                        await fleet.clock.runUntil(fleet.clock.now() + 300);
                        fleet.leader = fleet.startControl();
                        await fleet.clock.runUntil(fleet.clock.now() + 1_300);
                    }
                }],
                ["while no control process leads", async (fleet: LimitedFleet) => {
                    fleet.leader = undefined;
                    await fleet.clock.runUntil(fleet.clock.now() + 15_000);
                }],
                ["while half of the entries are cut off from control", async (fleet: LimitedFleet) => {
                    fleet.entries.forEach((entry, index) => {
                        entry.isCutOff = index % 2 === 0;
                    });
                    await fleet.clock.runUntil(fleet.clock.now() + 15_000);
                }],
                ["while entries are replaced by ones that know nothing", async (fleet: LimitedFleet) => {
                    for (let round = 0; round < 5; round++) {
                        fleet.entries.slice(round * 8, round * 8 + 8).forEach(entry => {
                            entry.isStopped = true;
                        });
                        fleet.startEntries(8, 1);
                        await fleet.clock.runUntil(fleet.clock.now() + 2_000);
                    }
                }],
            ] as const
        ) {
            it(title, async t => {
                const fleet = await startFleet(5, 40, 200, [limit]);
                await disturb(fleet);
                const most = fleet.mostArrivals("e0", convergenceTime, fleet.clock.now());
                t.true(most <= acceptedArrivals(limit), String(most));
                t.true(fleet.arrivalsBetween("e0", convergenceTime, fleet.clock.now()) > 0);
            });
        }

        it("when a limit falls", async t => {
            const fleet = await startFleet(6, 40, 100, [10]);
            fleet.endpoints.set("e0", 1);
            const changedAt = fleet.clock.now();
            await fleet.clock.runUntil(changedAt + 16_000);
            const most = fleet.mostArrivals("e0", changedAt + convergenceTime, fleet.clock.now());
            t.true(most <= acceptedArrivals(1), String(most));
        });
    });

    // Guards against calls of an entry that was suspended while it had a grant.
    it("do not use a grant that arrives late", async t => {
        const clock = new VirtualClock();
        const limits = createLimits(clock);
        limits.recordStatement("e0", { kind: "limited", callsPerSecond: 1, isAmbiguous: false }, 0);
        for (const [delay, isUsable] of [[2, true], [700, false]] as const) {
            const acquired = limits.acquire("e0", 0, new DelayedGrants(clock, delay));
            await clock.runUntil(clock.now() + 1_000);
            t.is(await acquired, isUsable, String(delay));
        }
    });

    it("keep a known limit if a response states one that cannot be parsed", t => {
        const limits = createLimits(new VirtualClock());
        limits.recordStatement("e0", { kind: "limited", callsPerSecond: 4, isAmbiguous: false }, 0);
        limits.recordStatement("e0", { kind: "malformed" }, 10);
        limits.recordStatement("e1", { kind: "malformed" }, 10);
        t.deepEqual(limits.statementsSince(0, 10), [
            { endpoint: "e0", isLimited: true, callsPerSecond: 4, age: 0 },
            { endpoint: "e1", isLimited: true, callsPerSecond: 0.2, age: 0 },
        ]);
    });

    it("ask for a probe once an endpoint got no call from any entry for some time", t => {
        const limits = createLimits(new VirtualClock());
        limits.applyEnforcedLimits([{ endpoint: "e0", callsPerSecond: 1, idleTime: 0 }], "leader", 0);
        t.false(limits.isProbeDue("e0", 2_900));
        t.true(limits.isProbeDue("e0", 3_100));
        t.false(limits.isProbeDue("e0", 3_200));
        t.false(limits.isProbeDue("e1", 9_000));
    });

    // Guards against an entry that never asks the leader again because its calls come in quick succession.
    it("ask the leader again while calls keep coming", async t => {
        const clock = new VirtualClock();
        const limits = createLimits(clock);
        limits.recordStatement("e0", { kind: "limited", callsPerSecond: 10, isAmbiguous: false }, 0);
        const source = new ReturningLeader();
        for (let call = 0; call < 20; call++) {
            await limits.acquire("e0", 0, source);
            await clock.runUntil(clock.now() + 100);
        }
        t.true(source.requests > 10, `${source.requests} requests`);
    });

    // Guards against limits that never end, and against a jump when they do.
    it("end without a jump when endpoints state no limit any more", async t => {
        const fleet = await startFleet(7, 40, 200, [0.2, 1]);
        fleet.endpoints.set("e0", undefined);
        fleet.endpoints.set("e1", undefined);
        const endedAt = fleet.clock.now();
        await fleet.clock.runUntil(endedAt + 30_000);
        for (const endpoint of ["e0", "e1"]) {
            const perSecond = Array.from(
                Array(30).keys(),
                second => fleet.arrivalsBetween(endpoint, endedAt + second * 1_000, endedAt + (second + 1) * 1_000),
            );
            const jump = perSecond.findIndex((calls, second) => calls > 4 * Math.max(3, perSecond[second - 1] ?? 0));
            t.is(jump, -1, perSecond.join(" "));
            t.true((perSecond.at(-1) ?? 0) > 40, perSecond.join(" "));
        }
    });
});
