import { QuantileEstimator } from "../../util/quantileEstimator.js";
import type { PendingRequest } from "../pendingRequest.js";

/** Predicts the number of output tokens of a request before it runs. */
export abstract class OutputPredictor {
    /** Predicted number of output tokens, used for fair sharing and wait estimates. */
    abstract predictTokens(request: PendingRequest): number;

    /** Updates the predictor with a completed request. */
    abstract observe(request: PendingRequest, outputTokens: number): void;
}

/** Fraction of the maximum output that is predicted before the first sample of a class. */
const initialFractionOfMaximum = 0.25;

/** Number of samples at which the quantile of a team has the same weight as that of its class. */
const samplesForEqualWeight = 8;

/** Quantile used as the prediction; above the median, because output lengths have a long upper tail. */
const predictionQuantile = 0.6;

/** Maximum number of teams per class with stored quantiles; the team added first is evicted first. */
const maximumTeamsPerClass = 20_000;

interface ClassQuantiles {
    readonly overall: QuantileEstimator;
    readonly teams: Map<string, QuantileEstimator>;
}

/** Predicts a quantile of the class, blended with that of the team as the team's number of samples grows. */
export class QuantileOutputPredictor extends OutputPredictor {
    private readonly classes = new Map<string, ClassQuantiles>();

    override predictTokens(request: PendingRequest): number {
        const maximumTokens = Math.min(request.maximumOutputTokens, request.requestClass.maximumOutputTokens);
        const quantiles = this.classes.get(request.requestClass.name);
        const classTokens = quantiles?.overall.estimate ?? maximumTokens * initialFractionOfMaximum;
        const teamQuantile = request.team === undefined ? undefined : quantiles?.teams.get(request.team);
        if (teamQuantile?.estimate === undefined) {
            return Math.min(maximumTokens, classTokens);
        }
        const confidence = teamQuantile.sampleCount / (teamQuantile.sampleCount + samplesForEqualWeight);
        return Math.min(maximumTokens, confidence * teamQuantile.estimate + (1 - confidence) * classTokens);
    }

    override observe(request: PendingRequest, outputTokens: number): void {
        if (request.maximumOutputTokens === 0) {
            return;
        }
        const quantiles = this.quantilesOf(request.requestClass.name);
        quantiles.overall.addSample(outputTokens);
        if (request.team !== undefined) {
            teamQuantileOf(quantiles, request.team).addSample(outputTokens);
        }
    }

    private quantilesOf(className: string): ClassQuantiles {
        let quantiles = this.classes.get(className);
        if (quantiles === undefined) {
            quantiles = { overall: new QuantileEstimator(predictionQuantile), teams: new Map() };
            this.classes.set(className, quantiles);
        }
        return quantiles;
    }
}

function teamQuantileOf(quantiles: ClassQuantiles, team: string): QuantileEstimator {
    let quantile = quantiles.teams.get(team);
    if (quantile !== undefined) {
        return quantile;
    }
    quantile = new QuantileEstimator(predictionQuantile);
    quantiles.teams.set(team, quantile);
    if (quantiles.teams.size > maximumTeamsPerClass) {
        const oldest = quantiles.teams.keys().next();
        quantiles.teams.delete(oldest.value ?? team);
    }
    return quantile;
}
