import type { Milliseconds } from "../../../util/clock.js";
import type { RandomSource } from "../../../util/randomSource.js";
import type { RequestClass } from "../../../version/manifest.js";
import { createZipfTeamChooser, drawArrivals } from "../arrivalProcess.js";
import type { LogicalRequest } from "../arrivalProcess.js";
import type { EngineSpeed } from "../engineModel.js";
import { Scenario } from "../scenario.js";
import { logNormalMean } from "./requestClassFactory.js";

/** Load of one class of a mixed scenario, as fractions of the pool's capacity. */
export interface ClassLoad {
    readonly requestClass: RequestClass;
    readonly outputMedian: number;
    readonly outputSigma: number;
    readonly meanPromptTokens: number;
    /** Load outside the peak, as a fraction of the capacity. */
    readonly baseLoadFraction: number;
    /** Load at full peak intensity, as a fraction of the capacity. */
    readonly peakLoadFraction: number;
}

/** Default engine speed: 40 tokens per second for each of 32 sequences. */
export const defaultEngineSpeed: EngineSpeed = {
    slots: 32,
    stepTime: 12,
    stepTimePerSequence: 0.4,
    promptTokensPerStep: 60,
};

/** A scenario of several request classes with base load before and after a peak. */
export abstract class MixedScenario extends Scenario {
    override readonly engineSpeed = defaultEngineSpeed;
    override readonly duration: Milliseconds = 180_000;
    abstract readonly classLoads: readonly ClassLoad[];
    protected readonly teamCount: number = 10;

    /** Returns the intensity of the peak at a point in time: 0 for base load, 1 for peak load. */
    abstract peakIntensityAt(time: Milliseconds): number;

    override drawRequests(random: RandomSource): readonly LogicalRequest[] {
        return this.classLoads.flatMap(load => this.drawClassRequests(load, random));
    }

    private drawClassRequests(load: ClassLoad, random: RandomSource): readonly LogicalRequest[] {
        const { outputMedian, outputSigma, meanPromptTokens, requestClass } = load;
        const capacityRequestsPerSecond = this.capacityTokensPerSecond / this.costInOutputTokens(load);
        const requestsPerSecondAt = (time: Milliseconds): number => {
            return capacityRequestsPerSecond
                * (load.baseLoadFraction
                    + (load.peakLoadFraction - load.baseLoadFraction) * this.peakIntensityAt(time));
        };
        const maximumRequestsPerSecond = capacityRequestsPerSecond
            * Math.max(load.baseLoadFraction, load.peakLoadFraction);
        const chooseTeam = createZipfTeamChooser(this.teamCount);
        const process = {
            requestClass,
            outputMedian,
            outputSigma,
            meanPromptTokens,
            requestsPerSecondAt,
            maximumRequestsPerSecond,
            chooseTeam,
        };
        return drawArrivals(process, this.duration, random);
    }

    /** Returns the mean cost of a request in output tokens, including the time to prefill its prompt. */
    private costInOutputTokens(load: ClassLoad): number {
        return logNormalMean(load.outputMedian, load.outputSigma)
            + load.meanPromptTokens / this.engineSpeed.promptTokensPerStep;
    }
}
