import type { Milliseconds } from "../../../util/clock.js";
import { MixedScenario } from "./mixedScenario.js";
import { createRequestClass } from "./requestClassFactory.js";

/** Oscillating load of up to 2.5 times the capacity, with the pool size and request classes of Pamplemousses. */
export class StormNight extends MixedScenario {
    override readonly name = "storm-night";
    override readonly description =
        "Storm night with the sizes of Pamplemousses: bursts of requests up to 2.5 times the capacity.";
    override readonly entryCount = 9;
    override readonly engineCount = 6;
    override readonly classLoads = [
        {
            requestClass: createRequestClass("leak-triage", 0, 4_000),
            outputMedian: 20,
            outputSigma: 0.4,
            meanPromptTokens: 500,
            baseLoadFraction: 0.05,
            peakLoadFraction: 0.3,
        },
        {
            requestClass: createRequestClass("shift-rebuild", 1, 40_000),
            outputMedian: 350,
            outputSigma: 0.5,
            meanPromptTokens: 2_000,
            baseLoadFraction: 0.2,
            peakLoadFraction: 0.8,
        },
        {
            requestClass: createRequestClass("handover-note", 3, 20_000, { preemptible: true }),
            outputMedian: 180,
            outputSigma: 0.5,
            meanPromptTokens: 800,
            baseLoadFraction: 0.2,
            peakLoadFraction: 0.8,
        },
        {
            requestClass: createRequestClass("archive-tag", 5, 180_000, { preemptible: true }),
            outputMedian: 300,
            outputSigma: 0.6,
            meanPromptTokens: 1_000,
            baseLoadFraction: 0.3,
            peakLoadFraction: 0.6,
        },
    ];

    override peakIntensityAt(time: Milliseconds): number {
        if (time < 20_000 || time >= 150_000) {
            return 0;
        }
        const gust = (1 + Math.sin((2 * Math.PI * time) / 20_000)) / 2;
        const ramp = Math.min(1, (time - 20_000) / 40_000);
        return ramp * (0.4 + 0.6 * gust);
    }
}
