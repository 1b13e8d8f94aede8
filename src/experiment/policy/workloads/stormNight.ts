import type { Milliseconds } from "../../../util/clock.js";
import { buildClass } from "./classBuilder.js";
import { MixedScenario } from "./mixedScenario.js";

/** A storm that swells and falls in gusts up to two and a half times the capacity, at Pamplemousses' sizes. */
export class StormNight extends MixedScenario {
    override readonly name = "storm-night";
    override readonly description =
        "Storm night at Pamplemousses' sizes: gusts of leak calls up to 2.5 times the capacity.";
    override readonly entries = 9;
    override readonly engines = 6;
    override readonly parts = [
        {
            requestClass: buildClass("leak-triage", 0, 4_000),
            outputMedian: 20,
            outputSigma: 0.4,
            promptTokens: 500,
            quietShare: 0.05,
            rushShare: 0.3,
        },
        {
            requestClass: buildClass("shift-rebuild", 1, 40_000),
            outputMedian: 350,
            outputSigma: 0.5,
            promptTokens: 2_000,
            quietShare: 0.2,
            rushShare: 0.8,
        },
        {
            requestClass: buildClass("handover-note", 3, 20_000, { preemptible: true }),
            outputMedian: 180,
            outputSigma: 0.5,
            promptTokens: 800,
            quietShare: 0.2,
            rushShare: 0.8,
        },
        {
            requestClass: buildClass("archive-tag", 5, 180_000, { preemptible: true }),
            outputMedian: 300,
            outputSigma: 0.6,
            promptTokens: 1_000,
            quietShare: 0.3,
            rushShare: 0.6,
        },
    ];

    override rushAt(at: Milliseconds): number {
        if (at < 20_000 || at >= 150_000) {
            return 0;
        }
        const gust = (1 + Math.sin((2 * Math.PI * at) / 20_000)) / 2;
        const swell = Math.min(1, (at - 20_000) / 40_000);
        return swell * (0.4 + 0.6 * gust);
    }
}
