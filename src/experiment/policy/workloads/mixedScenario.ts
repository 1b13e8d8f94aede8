import type { Milliseconds } from "../../../util/clock.js";
import type { RandomSource } from "../../../util/randomSource.js";
import type { RequestClass } from "../../../version/manifest.js";
import type { EngineSpeed } from "../engineModel.js";
import { Scenario } from "../scenario.js";
import { drawDemands, unequalTeams } from "../workload.js";
import type { Demand } from "../workload.js";
import { meanOf } from "./classBuilder.js";

/** One class of a mixed scenario, sized by the share of the capacity that it asks for. */
export interface MixPart {
    readonly requestClass: RequestClass;
    readonly outputMedian: number;
    readonly outputSigma: number;
    readonly promptTokens: number;
    /** Share of the capacity that it asks for in quiet times. */
    readonly quietShare: number;
    /** Share of the capacity that it asks for in the rush. */
    readonly rushShare: number;
}

/** The speed of an engine: 40 tokens a second for each of 32 streams. */
export const ordinaryEngine: EngineSpeed = {
    slots: 32,
    stepTime: 12,
    stepTimePerStream: 0.4,
    promptTokensPerStep: 60,
};

/** A scenario with quiet times before and after a rush. */
export abstract class MixedScenario extends Scenario {
    override readonly engineSpeed = ordinaryEngine;
    override readonly duration: Milliseconds = 180_000;
    abstract readonly parts: readonly MixPart[];
    protected readonly teams: number = 10;

    /** Strength of the rush at a point of time: 0 in quiet times, 1 at its height. */
    abstract rushAt(at: Milliseconds): number;

    override demands(random: RandomSource): readonly Demand[] {
        return this.parts.flatMap(part => this.demandsOf(part, random));
    }

    private demandsOf(part: MixPart, random: RandomSource): readonly Demand[] {
        const { outputMedian, outputSigma, promptTokens, requestClass } = part;
        const perShare = this.capacity / this.tokensOf(part);
        const rate = (at: Milliseconds): number => {
            return perShare * (part.quietShare + (part.rushShare - part.quietShare) * this.rushAt(at));
        };
        const largestRate = perShare * Math.max(part.quietShare, part.rushShare);
        const team = unequalTeams(this.teams);
        const stream = { requestClass, outputMedian, outputSigma, promptTokens, rate, largestRate, team };
        return drawDemands(stream, this.duration, random);
    }

    /** Output tokens of a request and the time of its prompt, counted in output tokens. */
    private tokensOf(part: MixPart): number {
        return meanOf(part.outputMedian, part.outputSigma) + part.promptTokens / this.engineSpeed.promptTokensPerStep;
    }
}
