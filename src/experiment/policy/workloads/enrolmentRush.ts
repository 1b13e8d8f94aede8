import type { Milliseconds } from "../../../util/clock.js";
import { buildClass } from "./classBuilder.js";
import { MixedScenario } from "./mixedScenario.js";

/** A morning rush of 90 s at three times the capacity, at Derwent's sizes. */
export class EnrolmentRush extends MixedScenario {
    override readonly name: string = "enrolment-rush";
    override readonly description: string =
        "Morning enrolment rush at Derwent's sizes: three times the capacity for 90 s.";
    override readonly entries = 8;
    override readonly engines = 12;
    override readonly parts = [
        {
            requestClass: buildClass("counter-draft", 0, 10_000, {
                target: { totalMilliseconds: 10_000, firstTokenMilliseconds: 1_500 },
            }),
            outputMedian: 120,
            outputSigma: 0.4,
            promptTokens: 600,
            quietShare: 0.2,
            rushShare: 0.55,
        },
        {
            requestClass: buildClass("history-summary", 2, 20_000),
            outputMedian: 200,
            outputSigma: 0.5,
            promptTokens: 1_500,
            quietShare: 0.15,
            rushShare: 1,
        },
        {
            requestClass: buildClass("waitlist-tag", 3, 6_000),
            outputMedian: 12,
            outputSigma: 0.3,
            promptTokens: 300,
            quietShare: 0.05,
            rushShare: 0.25,
        },
        {
            requestClass: buildClass("nightly-digest", 5, 120_000, { preemptible: true }),
            outputMedian: 400,
            outputSigma: 0.6,
            promptTokens: 2_000,
            quietShare: 0.2,
            rushShare: 1.2,
        },
    ];

    override rushAt(at: Milliseconds): number {
        return at >= 30_000 && at < 120_000 ? 1 : 0;
    }
}
