import type { Milliseconds } from "../../../util/clock.js";
import { MixedScenario } from "./mixedScenario.js";
import { createRequestClass } from "./requestClassFactory.js";

/** A peak of 90 s at three times the capacity, with the pool size and request classes of Derwent. */
export class EnrolmentRush extends MixedScenario {
    override readonly name: string = "enrolment-rush";
    override readonly description: string =
        "Morning enrolment rush with the sizes of Derwent: three times the capacity for 90 s.";
    override readonly entryCount = 8;
    override readonly engineCount = 12;
    override readonly classLoads = [
        {
            requestClass: createRequestClass("counter-draft", 0, 10_000, {
                target: { totalMilliseconds: 10_000, firstTokenMilliseconds: 1_500 },
            }),
            outputMedian: 120,
            outputSigma: 0.4,
            meanPromptTokens: 600,
            baseLoadFraction: 0.2,
            peakLoadFraction: 0.55,
        },
        {
            requestClass: createRequestClass("history-summary", 2, 20_000),
            outputMedian: 200,
            outputSigma: 0.5,
            meanPromptTokens: 1_500,
            baseLoadFraction: 0.15,
            peakLoadFraction: 1,
        },
        {
            requestClass: createRequestClass("waitlist-tag", 3, 6_000),
            outputMedian: 12,
            outputSigma: 0.3,
            meanPromptTokens: 300,
            baseLoadFraction: 0.05,
            peakLoadFraction: 0.25,
        },
        {
            requestClass: createRequestClass("nightly-digest", 5, 120_000, { preemptible: true }),
            outputMedian: 400,
            outputSigma: 0.6,
            meanPromptTokens: 2_000,
            baseLoadFraction: 0.2,
            peakLoadFraction: 1.2,
        },
    ];

    override peakIntensityAt(time: Milliseconds): number {
        return time >= 30_000 && time < 120_000 ? 1 : 0;
    }
}
