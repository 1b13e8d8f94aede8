import { RunningQuantile } from "../../util/runningQuantile.js";
import type { PendingRequest } from "../pendingRequest.js";

/** Predicts how many tokens a request will generate before it has run. */
export abstract class OutputPredictor {
    /** The expected number of output tokens; what fairness and waits are counted with. */
    abstract predictTokens(request: PendingRequest): number;

    /** Learns from a completed request. */
    abstract observe(request: PendingRequest, outputTokens: number): void;
}

/** The share of the class's largest output that is assumed before anything was learned. */
const assumedShareOfMaximum = 0.25;

/** Samples of a team that weigh as much as the experience of its whole class. */
const samplesForEqualWeight = 8;

/** Quantile that stands for the expected length; above the median, because lengths have a long upper tail. */
const expectationQuantile = 0.6;

/** Teams of a class whose lengths are remembered at most; the ones learned first are forgotten first. */
const rememberedTeams = 20_000;

interface ClassExperience {
    readonly overall: RunningQuantile;
    readonly teams: Map<string, RunningQuantile>;
}

/** Predicts by a quantile for each class, refined by one for each team as its samples grow. */
export class QuantileOutputPredictor extends OutputPredictor {
    private readonly classes = new Map<string, ClassExperience>();

    override predictTokens(request: PendingRequest): number {
        const maximum = Math.min(request.maximumOutputTokens, request.requestClass.maximumOutputTokens);
        const experience = this.classes.get(request.requestClass.name);
        const ofClass = experience?.overall.value ?? maximum * assumedShareOfMaximum;
        const team = request.team === undefined ? undefined : experience?.teams.get(request.team);
        if (team?.value === undefined) {
            return Math.min(maximum, ofClass);
        }
        const confidence = team.count / (team.count + samplesForEqualWeight);
        return Math.min(maximum, confidence * team.value + (1 - confidence) * ofClass);
    }

    override observe(request: PendingRequest, outputTokens: number): void {
        if (request.maximumOutputTokens === 0) {
            return;
        }
        const experience = this.experienceOf(request.requestClass.name);
        experience.overall.add(outputTokens);
        if (request.team !== undefined) {
            teamOf(experience, request.team).add(outputTokens);
        }
    }

    private experienceOf(className: string): ClassExperience {
        let experience = this.classes.get(className);
        if (experience === undefined) {
            experience = { overall: new RunningQuantile(expectationQuantile), teams: new Map() };
            this.classes.set(className, experience);
        }
        return experience;
    }
}

function teamOf(experience: ClassExperience, team: string): RunningQuantile {
    let quantile = experience.teams.get(team);
    if (quantile !== undefined) {
        return quantile;
    }
    quantile = new RunningQuantile(expectationQuantile);
    experience.teams.set(team, quantile);
    if (experience.teams.size > rememberedTeams) {
        const oldest = experience.teams.keys().next();
        experience.teams.delete(oldest.value ?? team);
    }
    return quantile;
}
