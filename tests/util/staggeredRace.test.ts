import { SystemClock } from "../../src/util/clock.js";
import { staggeredRace } from "../../src/util/staggeredRace.js";
import type { RaceAttempt } from "../../src/util/staggeredRace.js";
import { describe, it } from "../describe.js";

const clock = new SystemClock();
const silent: RaceAttempt<string> = signal =>
    new Promise(resolve => {
        signal.addEventListener("abort", () => {
            resolve(undefined);
        });
    });
const failing: RaceAttempt<string> = () => Promise.resolve(undefined);
const answering = (answer: string): RaceAttempt<string> => () => Promise.resolve(answer);

describe("staggeredRace", () => {
    const cases = [
        { title: "takes the first answer", attempts: [answering("first"), answering("second")], expected: "first" },
        { title: "passes over a failure", attempts: [failing, answering("second")], expected: "second" },
        { title: "passes over a silent attempt", attempts: [silent, answering("second")], expected: "second" },
        { title: "fails when all fail", attempts: [failing, failing], expected: undefined },
        { title: "fails without attempts", attempts: [], expected: undefined },
    ];
    for (const { title, attempts, expected } of cases) {
        it(title, async t => {
            t.is(await staggeredRace(attempts, 5, clock), expected);
        });
    }

    it("starts no further attempt after a quick answer, and aborts the silent ones after an answer", async t => {
        let started = 0;
        let aborted = 0;
        const counted: RaceAttempt<string> = signal => {
            started++;
            signal.addEventListener("abort", () => {
                aborted++;
            });
            return silent(signal);
        };
        t.is(await staggeredRace([counted, answering("second"), counted], 5, clock), "second");
        t.is(started, 1);
        t.is(aborted, 1);
    });
});
