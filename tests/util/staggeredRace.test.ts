import { SystemClock } from "../../src/util/clock.js";
import { staggeredRace } from "../../src/util/staggeredRace.js";
import type { RaceAttempt } from "../../src/util/staggeredRace.js";
import { describe, it } from "../describe.js";

const clock = new SystemClock();
const pendingAttempt: RaceAttempt<string> = signal =>
    new Promise(resolve => {
        signal.addEventListener("abort", () => {
            resolve(undefined);
        });
    });
const failingAttempt: RaceAttempt<string> = () => Promise.resolve(undefined);
const successfulAttempt = (answer: string): RaceAttempt<string> => () => Promise.resolve(answer);

describe("staggeredRace", () => {
    const cases = [
        {
            title: "returns the result of the first attempt",
            attempts: [successfulAttempt("first"), successfulAttempt("second")],
            expected: "first",
        },
        {
            title: "starts the next attempt after a failure",
            attempts: [failingAttempt, successfulAttempt("second")],
            expected: "second",
        },
        {
            title: "starts the next attempt while the previous one is pending",
            attempts: [pendingAttempt, successfulAttempt("second")],
            expected: "second",
        },
        {
            title: "returns undefined if all attempts fail",
            attempts: [failingAttempt, failingAttempt],
            expected: undefined,
        },
        { title: "returns undefined without attempts", attempts: [], expected: undefined },
    ];
    for (const { title, attempts, expected } of cases) {
        it(title, async t => {
            t.is(await staggeredRace(attempts, 5, clock), expected);
        });
    }

    it("starts no further attempt after a success, and aborts the pending ones", async t => {
        let started = 0;
        let aborted = 0;
        const countedAttempt: RaceAttempt<string> = signal => {
            started++;
            signal.addEventListener("abort", () => {
                aborted++;
            });
            return pendingAttempt(signal);
        };
        t.is(await staggeredRace([countedAttempt, successfulAttempt("second"), countedAttempt], 5, clock), "second");
        t.is(started, 1);
        t.is(aborted, 1);
    });
});
