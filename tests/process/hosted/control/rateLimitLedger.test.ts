import { EventLog } from "../../../../src/logEvent/eventLog.js";
import { RateLimitLedger } from "../../../../src/process/hosted/control/rateLimitLedger.js";
import { describe, it } from "../../../describe.js";

function createLedger(): RateLimitLedger {
    return new RateLimitLedger(new EventLog("test", "hidden"));
}

function rateOf(ledger: RateLimitLedger, now: number): number | undefined {
    return ledger.enforcedLimits(now)[0]?.callsPerSecond;
}

describe("RateLimitLedger", () => {
    it("enforces the smallest of recent statements", t => {
        const ledger = createLedger();
        ledger.recordStatement("a", { endpoint: "e", isLimited: true, callsPerSecond: 3, age: 0 }, 0);
        ledger.recordStatement("b", { endpoint: "e", isLimited: true, callsPerSecond: 2, age: 0 }, 100);
        t.is(rateOf(ledger, 200), 2);
    });

    it("enforces a raised limit once the lower statement is old", t => {
        const ledger = createLedger();
        ledger.recordStatement("a", { endpoint: "e", isLimited: true, callsPerSecond: 2, age: 0 }, 0);
        ledger.recordStatement("b", { endpoint: "e", isLimited: true, callsPerSecond: 5, age: 0 }, 1_500);
        t.is(rateOf(ledger, 1_600), 2);
        t.is(rateOf(ledger, 2_100), 5);
    });

    it("ignores a statement that is older than the entry's newest one", t => {
        const ledger = createLedger();
        ledger.recordStatement("a", { endpoint: "e", isLimited: true, callsPerSecond: 5, age: 0 }, 1_000);
        ledger.recordStatement("a", { endpoint: "e", isLimited: true, callsPerSecond: 2, age: 500 }, 1_010);
        t.is(rateOf(ledger, 1_020), 5);
    });

    for (
        const [title, statement, rate] of [
            ["an unknown limit", {}, 0.2],
            ["a limit of zero", { callsPerSecond: 0 }, 0.2],
            ["a huge limit", { callsPerSecond: 1e12 }, 1_000_000],
        ] as const
    ) {
        it(`enforces ${title} as ${rate} calls per second`, t => {
            const ledger = createLedger();
            ledger.recordStatement("a", { endpoint: "e", isLimited: true, ...statement, age: 0 }, 0);
            t.is(rateOf(ledger, 0), rate);
        });
    }

    it("grants calls in advance up to the acceptable delay, and tells a denied entry when to ask again", t => {
        const ledger = createLedger();
        ledger.recordStatement("a", { endpoint: "e", isLimited: true, callsPerSecond: 2, age: 0 }, 0);
        t.deepEqual(ledger.requestGrant("a", "e", 0, 0), { isGranted: false, delay: 500, contenders: 1 });
        t.deepEqual(ledger.requestGrant("b", "e", 600, 0), { isGranted: true, delay: 500, contenders: 2 });
        t.deepEqual(ledger.requestGrant("a", "e", 600, 0), { isGranted: false, delay: 1_000, contenders: 2 });
    });

    it("grants calls to endpoints that state no limit", t => {
        const ledger = createLedger();
        ledger.recordStatement("a", { endpoint: "e", isLimited: false, age: 0 }, 0);
        t.true(ledger.requestGrant("a", "e", 0, 0).isGranted);
        t.deepEqual(ledger.enforcedLimits(0), []);
    });

    it("forgets endpoints of which nothing is heard any more", t => {
        const ledger = createLedger();
        ledger.recordStatement("a", { endpoint: "e", isLimited: true, callsPerSecond: 2, age: 0 }, 0);
        ledger.prune(61_000);
        t.deepEqual(ledger.enforcedLimits(61_000), []);
    });
});
