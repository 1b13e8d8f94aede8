import { TeamWeights } from "../../request/admission/teamWeights.js";
import type { EntryConfiguration } from "./entryConfiguration.js";

/** Team weights from the active configuration. */
export class ConfiguredTeamWeights extends TeamWeights {
    constructor(private readonly configuration: EntryConfiguration) {
        super();
    }

    override weightOf(team: string | undefined): number {
        return this.configuration.current.weightOf(team);
    }
}
