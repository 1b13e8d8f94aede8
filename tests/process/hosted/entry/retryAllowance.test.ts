import { RetryAllowance } from "../../../../src/process/hosted/entry/retryAllowance.js";
import { describe, it } from "../../../describe.js";

const bounds = {
    keyWithdrawal: 5_000,
    shutdown: 8_000,
    dutyTurn: 3_000,
    usageWindow: 5_000,
    retryWindow: 10_000,
    retryFraction: 0.2,
    retryReserve: 40,
    resolutionTimeToLive: 5_000,
};

function repeatsTaken(allowance: RetryAllowance, entries: number, now: number): number {
    let taken = 0;
    while (allowance.takeRepeat("desk", entries, now)) {
        taken++;
    }
    return taken;
}

describe("retry budget", () => {
    it("stays below the common bound if all entries exhaust their shares", t => {
        const calls = 200;
        const entries = 8;
        let taken = 0;
        for (let entry = 0; entry < entries; entry++) {
            const allowance = new RetryAllowance(bounds);
            for (let call = 0; call < calls; call++) {
                allowance.noteCall("desk", call);
            }
            taken += repeatsTaken(allowance, entries, 1_000);
        }
        t.true(taken > 0);
        t.true(taken <= entries * calls * bounds.retryFraction + bounds.retryReserve);
    });

    it("drops calls and retries that have left the window", t => {
        const allowance = new RetryAllowance(bounds);
        const first = repeatsTaken(allowance, 1, 0);
        t.is(repeatsTaken(allowance, 1, 9_000), 0);
        t.is(repeatsTaken(allowance, 1, 10_001), first);
    });

    it("is separate for each service", t => {
        const allowance = new RetryAllowance(bounds);
        repeatsTaken(allowance, 1, 0);
        t.true(allowance.takeRepeat("engines", 1, 0));
    });
});
