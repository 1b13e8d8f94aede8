/** Weights of the teams in the current configuration. */
export abstract class TeamWeights {
    /** Returns a positive weight; `undefined` stands for requests without a team, which have weight 1. */
    abstract weightOf(team: string | undefined): number;
}

/** Weights from a map; teams that are not listed have weight 1. */
export class ListedTeamWeights extends TeamWeights {
    /** @param weights Weights by team name. */
    constructor(private readonly weights: ReadonlyMap<string, number> = new Map()) {
        super();
    }

    override weightOf(team: string | undefined): number {
        return team === undefined ? 1 : this.weights.get(team) ?? 1;
    }
}
