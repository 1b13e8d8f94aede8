import { RetryAppointments } from "../../../src/request/admission/retryAfterScheduler.js";
import { describe, it } from "../../describe.js";

/** Appointments of a tier that was served ten times a second for a minute. */
function servedTenASecond(): RetryAppointments {
    const appointments = new RetryAppointments();
    for (let turn = 0; turn < 600; turn += 1) {
        appointments.noteStarted(2, turn * 100);
    }
    return appointments;
}

describe("RetryAppointments", () => {
    it("follow each other at the rate at which the tier is served", t => {
        const appointments = servedTenASecond();
        const booked = [...Array(100).keys()].map(() => appointments.book(2, 50, 60_000));
        t.true(Math.abs((booked[0] ?? 0) - 5_100) < 100);
        t.true(Math.abs((booked[99] ?? 0) - (booked[0] ?? 0) - 9_900) < 200);
    });

    it("are spread over the later half of the longest time where the tier is not served", t => {
        const appointments = servedTenASecond();
        const booked = [...Array(300).keys()].map(() => appointments.book(4, 1, 60_000));
        const inTenths = [...Array(10).keys()].map(tenth => {
            return booked.filter(each => Math.floor((each - 30_000) / 3_000) === tenth).length;
        });
        t.true(inTenths.every(count => count >= 25 && count <= 35), inTenths.join());
    });
});
