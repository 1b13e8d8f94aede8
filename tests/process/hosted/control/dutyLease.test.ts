import { DutyLease } from "../../../../src/process/hosted/control/dutyLease.js";
import { SuspensionDetector } from "../../../../src/util/suspensionDetector.js";
import { describe, it } from "../../../describe.js";
import { SettableClock } from "../../../util/settableClock.js";

function leaseOf(clock: SettableClock, term: () => number): DutyLease {
    const lease = { lease: () => ({ fencingNumber: term() }) };
    return new DutyLease(lease, new SuspensionDetector(clock), 3_000, 600);
}

describe("DutyLease", () => {
    it("grants a token only after the full handover delay of the term", t => {
        const clock = new SettableClock();
        const lease = leaseOf(clock, () => 2);
        lease.enterTerm(2, 0);
        clock.advance(2_900);
        t.is(lease.token(clock.now(), 400), undefined);
        clock.advance(200);
        t.is(lease.token(clock.now(), 400)?.fencingNumber, 2);
    });

    it("grants no token for a term other than the entered one", t => {
        const clock = new SettableClock();
        const lease = leaseOf(clock, () => 3);
        lease.enterTerm(2, 0);
        clock.advance(10_000);
        t.is(lease.token(clock.now(), 400), undefined);
    });

    it("must be renewed after a time that the monotonic clock did not count", t => {
        const clock = new SettableClock();
        const lease = leaseOf(clock, () => 2);
        lease.enterTerm(2, 0);
        clock.advance(10_000);
        clock.unix += 5_000;
        t.is(lease.token(clock.now(), 400), undefined);
        clock.advance(700);
        t.is(lease.token(clock.now(), 400)?.fencingNumber, 2);
    });
});
