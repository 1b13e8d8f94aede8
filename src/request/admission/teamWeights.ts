/** Gives the weight of a team in the configuration in force. */
export abstract class TeamWeights {
    /** A positive number; the weight of requests without a team is that of an ordinary team. */
    abstract weightOf(team: string | undefined): number;
}

/** Weights that stand in a table; a team that is not listed has weight 1. */
export class ListedTeamWeights extends TeamWeights {
    /** @param weights Weight by name of the team. */
    constructor(private readonly weights: ReadonlyMap<string, number> = new Map()) {
        super();
    }

    override weightOf(team: string | undefined): number {
        return team === undefined ? 1 : this.weights.get(team) ?? 1;
    }
}
